//! Chunked bodies that arrive in pieces of every size, and malformed ones.

use bytes::BytesMut;

use crate::transparent::chunked::{Decoder, Malformed};

/// Decodes `text` in pieces of `piece` bytes; returns the body and the bytes after it.
fn decode(text: &[u8], piece: usize) -> Result<(Vec<u8>, Vec<u8>), Malformed> {
    let (mut input, mut body) = (BytesMut::new(), BytesMut::new());
    let mut decoder = Decoder::new();
    let mut ended = false;
    for bytes in text.chunks(piece) {
        input.extend_from_slice(bytes);
        ended = ended || decoder.advance(&mut input, &mut body)?;
    }
    assert!(ended, "the body did not end");
    Ok((body.to_vec(), input.to_vec()))
}

#[test]
fn in_any_pieces() {
    let text = b"4\r\nWiki\r\n6;name=value\r\npedia \r\nE\r\nin \r\n\r\nchunks.\r\n0\r\nX-A: 1\r\n\r\nnext";
    for piece in 1..=text.len() {
        let (body, rest) = decode(text, piece).expect("a valid chunked body");
        assert_eq!(body, b"Wikipedia in \r\n\r\nchunks.", "pieces of {piece}");
        assert_eq!(rest, b"next", "pieces of {piece}");
    }
}

#[test]
fn malformed() {
    let long = vec![b'1'; 5000];
    let cases: [&[u8]; 8] = [
        b"\r\n",
        b"x\r\n",
        b"-1\r\n",
        b"+1\r\n",
        b"1\nab",
        b"1\r\nabc\r\n",
        b"fffffffffffff\r\n",
        &long,
    ];
    for case in cases {
        let (mut input, mut body) = (BytesMut::from(case), BytesMut::new());
        let advanced = Decoder::new().advance(&mut input, &mut body);
        assert_eq!(advanced, Err(Malformed), "{case:?}");
    }
}
