//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message with its start line, fields and body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self
            .fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Why no complete message was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection ended between two messages.
    Ended,
    /// The connection ended or was reset within a message; contains the bytes of its body so far.
    Cut(usize),
    /// Nothing arrived in time; contains the bytes of the body so far.
    Late(usize),
    /// The bytes are no HTTP message.
    Malformed,
}

/// Reads the messages of a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; `got` is what a fault reports.
    fn fill(&mut self, got: usize) -> Result<usize, Fault> {
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece) {
            Ok(count) => {
                self.buffer.extend_from_slice(&piece[..count]);
                Ok(count)
            }
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                Err(Fault::Late(got))
            }
            Err(_) => Err(Fault::Cut(got)),
        }
    }

    /// Reads the start line and the fields of the next message.
    pub fn head(&mut self) -> Result<Message, Fault> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                let text = String::from_utf8(head).map_err(|_| Fault::Malformed)?;
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
                return Ok(Message {
                    start,
                    fields: fields.collect(),
                    body: Vec::new(),
                });
            }
            if self.fill(0)? == 0 {
                return Err(if self.buffer.is_empty() {
                    Fault::Ended
                } else {
                    Fault::Cut(0)
                });
            }
        }
    }

    /// Reads a whole message; a response without a length ends with the connection.
    pub fn message(&mut self, is_response: bool) -> Result<Message, Fault> {
        let mut message = self.head()?;
        let is_chunked = message
            .field("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        let length: Option<usize> = message
            .field("content-length")
            .and_then(|length| length.parse().ok());
        if is_chunked {
            message.body = self.chunks()?;
        } else if let Some(length) = length {
            while self.buffer.len() < length {
                let got = self.buffer.len();
                if self.fill(got)? == 0 {
                    return Err(Fault::Cut(got));
                }
            }
            message.body = self.buffer.drain(..length).collect();
        } else if is_response {
            loop {
                let got = self.buffer.len();
                if self.fill(got)? == 0 {
                    break;
                }
            }
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(message)
    }

    fn chunks(&mut self) -> Result<Vec<u8>, Fault> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                    break String::from_utf8_lossy(&line).trim().to_owned();
                }
                if self.fill(body.len())? == 0 {
                    return Err(Fault::Cut(body.len()));
                }
            };
            let size = usize::from_str_radix(&line, 16).map_err(|_| Fault::Malformed)?;
            while self.buffer.len() < size + 2 {
                if self.fill(body.len() + self.buffer.len())? == 0 {
                    return Err(Fault::Cut(body.len() + self.buffer.len()));
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}

pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    start: &str,
    fields: &str,
    body: &[u8],
    timeout: Duration,
) -> Result<Message, Fault> {
    let mut stream = connect(address, timeout).map_err(|_| Fault::Ended)?;
    let head = format!(
        "{start} HTTP/1.1\r\nHost: {address}\r\n{fields}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body))
        .map_err(|_| Fault::Cut(0))?;
    Reader::new(stream).message(true)
}
