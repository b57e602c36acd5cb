//! Frames are decoded however the stream is split into reads, and no input makes the codec panic.

use bytes::{BufMut as _, BytesMut};
use proptest::prelude::*;
use sailtrack_wire::{Body, Call, Codec, Frame, MAX_FRAME, decode_datagram};

fn call(body: Vec<u8>, path: String) -> Frame {
    Frame {
        body: Some(Body::Call(Call {
            exchange: 7,
            path,
            body: body.into(),
            ..Call::default()
        })),
    }
}

proptest! {
    #[test]
    fn any_cut(bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..6),
               cut in 1usize..50) {
        let frames: Vec<Frame> = bodies.into_iter().map(|body| call(body, "/x".to_owned())).collect();
        let mut bytes = BytesMut::new();
        for frame in &frames {
            Codec::default().encode(frame, &mut bytes).unwrap();
        }
        let mut codec = Codec::default();
        let mut buffer = BytesMut::new();
        let mut found = Vec::new();
        for piece in bytes.chunks(cut) {
            buffer.extend_from_slice(piece);
            while let Some(frame) = codec.decode(&mut buffer).unwrap() {
                found.push(frame);
            }
        }
        prop_assert_eq!(found, frames);
    }

    #[test]
    fn hostile_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        let mut codec = Codec::default();
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let _ = decode_datagram(&bytes);
    }
}

#[test]
fn oversized_length() {
    let mut buffer = BytesMut::new();
    buffer.put_u32(u32::try_from(MAX_FRAME).unwrap() + 1);
    assert!(Codec::default().decode(&mut buffer).is_err());
}

#[test]
fn empty_frame() {
    let mut buffer = BytesMut::new();
    buffer.put_u32(0);
    assert!(Codec::default().decode(&mut buffer).is_err());
}

#[test]
fn truncated_frame() {
    let mut bytes = BytesMut::new();
    Codec::default()
        .encode(&call(vec![1; 100], String::new()), &mut bytes)
        .unwrap();
    bytes.truncate(bytes.len() - 1);
    assert!(matches!(Codec::default().decode(&mut bytes), Ok(None)));
}
