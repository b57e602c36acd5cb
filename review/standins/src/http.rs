//! Minimal HTTP/1.1 on blocking sockets: complete messages with a length or chunks.

use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;

/// A message that was received.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request or status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first field with this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let named = |(known, _): &&(String, String)| known.eq_ignore_ascii_case(name);
        let field = self.fields.iter().find(named);
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the word at this index of the first line.
    pub fn word(&self, place: usize) -> &str {
        self.line.split(' ').nth(place).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads messages from one connection.
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

    /// Returns the next complete message, or `None` if the connection ended before it began.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(end) = self.find_head_end()? else {
            return Ok(None);
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let line = lines.next().unwrap_or_default().to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        let mut message = Message {
            line,
            fields: fields.collect(),
            body: Vec::new(),
        };
        let length = message.field("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    fn find_head_end(&mut self) -> io::Result<Option<usize>> {
        loop {
            let end = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(end) = end {
                return Ok(Some(end + 4));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8192];
        let count = loop {
            match self.stream.read(&mut chunk) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => break result?,
            }
        };
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }
}

/// Writes a response with a content length.
pub fn write_response(
    stream: &mut TcpStream,
    status: u16,
    fields: &str,
    body: &[u8],
) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
