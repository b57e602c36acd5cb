//! Responses that are none, as the store or a health check may give them.

use std::io::{Read as _, Write as _};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use http::Method;

use crate::http::{Pool, Request};
use crate::runtime;

/// Returns whether this text, behind which the connection ends, is taken for a response.
fn is_response(text: &'static str) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4096]);
        let _ = stream.write_all(text.as_bytes());
    });
    let result = runtime::run(async {
        let deadline = Instant::now() + Duration::from_secs(5);
        let request = Request::new(Method::GET, "/", "");
        Pool::new(address, None, 1)
            .exchange(request, deadline)
            .await
    });
    server.join().expect("no panic");
    result.expect("a runtime").is_ok()
}

#[test]
fn whole_responses() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
        "HTTP/1.1 599 Odd\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 204 OK\r\n\r\n",
    ] {
        assert!(is_response(text), "{text:?}");
    }
}

#[test]
fn odd_heads() {
    for text in [
        "HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 099 Odd\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 600 Odd\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 999 Odd\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 20 Odd\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 2000 Odd\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\nX\u{1}Odd: 1\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 3\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nodd and more",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
    ] {
        assert!(!is_response(text), "{text:?}");
    }
}

#[test]
fn parts() {
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nod",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nod",
        "HTTP/1.1 200 OK\r\n\r\nodd",
        "HTTP/1.0 200 OK\r\n\r\nodd",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
    ] {
        assert!(!is_response(text), "{text:?}");
    }
}
