//! A relay before the port of the stand-in that sends responses twice.
//!
//! The copy of a response goes out when the next request arrives on the connection, before the
//! response to that.

use std::io::{self, Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Deserialize;

/// The bytes taken in one read.
const READ_SIZE: usize = 16 * 1024;
/// What a response begins with by which a request is rejected.
const REJECTION: &[u8] = b"HTTP/1.1 503";

/// Which responses are sent twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Copies {
    /// None.
    #[default]
    None,
    /// Those that reject a request.
    Rejections,
    /// All.
    All,
}

/// Which responses are sent twice at present.
#[derive(Debug, Clone, Default)]
pub(crate) struct Selection(Arc<AtomicU8>);

impl Selection {
    pub(crate) fn set(&self, copies: Copies) {
        self.0.store(copies as u8, Ordering::Relaxed);
    }

    fn includes(&self, response: &[u8]) -> bool {
        let current = self.0.load(Ordering::Relaxed);
        current == Copies::All as u8
            || (current == Copies::Rejections as u8 && response.starts_with(REJECTION))
    }
}

/// The bytes of the response to the last request on a connection.
#[derive(Debug, Clone, Default)]
struct Response(Arc<Mutex<Vec<u8>>>);

impl Response {
    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Relays connections from `front` to `back` until the process ends.
pub(crate) fn start(front: SocketAddr, back: SocketAddr, selection: &Selection) -> io::Result<()> {
    let listener = TcpListener::bind(front)?;
    let selection = selection.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let selection = selection.clone();
            std::thread::spawn(move || relay(&stream, back, &selection));
        }
    });
    Ok(())
}

fn relay(client: &TcpStream, back: SocketAddr, selection: &Selection) -> io::Result<()> {
    let server = TcpStream::connect(back)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let response = Response::default();
    let responses = std::thread::spawn({
        let (server, client) = (server.try_clone()?, client.try_clone()?);
        let response = response.clone();
        move || relay_responses(&server, &client, &response)
    });
    let requests = relay_requests(client, &server, &response, selection);
    // The thread ends with the connection; its result is the same end.
    let _ = server.shutdown(Shutdown::Both);
    let _ = responses.join();
    requests
}

fn relay_requests(
    mut client: &TcpStream,
    mut server: &TcpStream,
    response: &Response,
    selection: &Selection,
) -> io::Result<()> {
    let mut buffer = [0; READ_SIZE];
    loop {
        let count = client.read(&mut buffer)?;
        if count == 0 {
            return Ok(());
        }
        let earlier = std::mem::take(&mut *response.bytes());
        if selection.includes(&earlier) {
            client.write_all(&earlier)?;
        }
        server.write_all(&buffer[..count])?;
    }
}

fn relay_responses(
    mut server: &TcpStream,
    mut client: &TcpStream,
    response: &Response,
) -> io::Result<()> {
    let mut buffer = [0; READ_SIZE];
    loop {
        let count = server.read(&mut buffer)?;
        if count == 0 {
            return client.shutdown(Shutdown::Both);
        }
        // Before it is sent, since the next request may arrive right after.
        response.bytes().extend_from_slice(&buffer[..count]);
        client.write_all(&buffer[..count])?;
    }
}
