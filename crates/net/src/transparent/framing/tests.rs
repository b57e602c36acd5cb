//! Framing of request and response bodies, and ambiguous or malformed framing.

use bytes::Bytes;

use crate::transparent::{Framing, HeadError, RequestHead, ResponseHead};
use crate::transparent::{request_framing, response_framing};

fn request(fields: &str) -> Result<Framing, HeadError> {
    let text = format!("POST / HTTP/1.1\r\n{fields}\r\n");
    let head = RequestHead::parse(&Bytes::from(text))?;
    request_framing(&head.fields)
}

fn response(status: u16, fields: &str) -> Result<Framing, HeadError> {
    let text = format!("HTTP/1.1 {status} X\r\n{fields}\r\n");
    let head = ResponseHead::parse(&Bytes::from(text))?;
    response_framing(head.status, false, &head.fields)
}

#[test]
fn of_requests() {
    assert_eq!(request(""), Ok(Framing::None));
    assert_eq!(request("Content-Length: 0\r\n"), Ok(Framing::None));
    assert_eq!(request("content-length: 12\r\n"), Ok(Framing::Length(12)));
    assert_eq!(
        request("Transfer-Encoding: Chunked\r\n"),
        Ok(Framing::Chunked)
    );
    for fields in [
        "Content-Length: 1\r\nContent-Length: 1\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert_eq!(request(fields), Err(HeadError::Ambiguous), "{fields}");
    }
    for value in ["-1", "1, 1", "0x1", "1 1", ""] {
        let fields = format!("Content-Length: {value}\r\n");
        assert_eq!(request(&fields), Err(HeadError::Malformed), "{value}");
    }
    for value in ["gzip", "chunked, chunked", "identity"] {
        let fields = format!("Transfer-Encoding: {value}\r\n");
        assert_eq!(request(&fields), Err(HeadError::Coding), "{value}");
    }
}

#[test]
fn of_answers() {
    assert_eq!(response(200, ""), Ok(Framing::UntilClose));
    assert_eq!(
        response(200, "Content-Length: 3\r\n"),
        Ok(Framing::Length(3))
    );
    assert_eq!(response(204, ""), Ok(Framing::None));
    assert_eq!(response(304, "Content-Length: 3\r\n"), Ok(Framing::None));
    assert_eq!(response(100, ""), Ok(Framing::None));
}
