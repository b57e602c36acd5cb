use std::time::Duration;

use sailtrack_net::runtime;

use super::*;
use crate::memory::{Bound, Budget, Caller};

fn charge(budget: &Budget, bytes: usize) -> Charge {
    let acquired = budget.acquire(Caller::Anonymous, bytes, Duration::ZERO);
    let acquired = runtime::run(acquired).expect("a runtime");
    acquired.expect("there is room")
}

fn bytes_of(buffer: &Buffer) -> Vec<u8> {
    buffer.segments().flatten().copied().collect()
}

/// A body keeps its bytes in order, whatever pieces it arrives in and is sent in.
#[test]
fn pieces_in_order() {
    let budget = Budget::new(1 << 20, &Bound::new(1 << 20));
    let bytes: Vec<u8> = (0..200_000_u32)
        .map(|number| number.to_le_bytes()[0])
        .collect();
    let mut assembly = Assembly::new(charge(&budget, bytes.len()));
    for piece in bytes.chunks(777) {
        assembly.push(piece);
    }
    let buffer = assembly.finish();
    assert_eq!(buffer.len(), bytes.len());
    assert_eq!(bytes_of(&buffer), bytes);
    let pieces: Vec<Bytes> = buffer.pieces(1000).collect();
    assert!(pieces.iter().all(|piece| piece.len() <= 1000));
    assert_eq!(pieces.concat(), bytes);
}

/// A short body is one piece even if it grew beyond what was charged first.
#[test]
fn short_body_in_one_piece() {
    let budget = Budget::new(1 << 20, &Bound::new(1 << 20));
    let mut assembly = Assembly::new(charge(&budget, 300));
    assembly.push(&[1; 200]);
    let grown = assembly.charge().grow(1000, Duration::ZERO);
    runtime::run(grown).expect("a runtime").expect("room");
    assembly.push(&[2; 800]);
    let buffer = assembly.finish();
    assert_eq!(buffer.segments().count(), 2);
    assert_eq!(buffer.join_up_to(999), None);
    let joined = buffer.join_up_to(1000).expect("it is short");
    assert_eq!(joined.to_vec(), bytes_of(&buffer));
    assert_eq!(Buffer::default().join_up_to(0), Some(Bytes::new()));
}

/// What was charged for a body is released with its last copy, and what it did not need at its end.
#[test]
fn released_with_last_copy() {
    let budget = Budget::new(1 << 20, &Bound::new(1 << 20));
    let mut assembly = Assembly::new(charge(&budget, 300_000));
    assembly.push(&[1; 1000]);
    assert_eq!(budget.sample().held, 300_000);
    let buffer = assembly.finish();
    assert_eq!(budget.sample().held, 1000);
    let copy = buffer.clone();
    drop(buffer);
    assert_eq!(budget.sample().held, 1000);
    drop(copy);
    assert_eq!(budget.sample().held, 0);
}
