//! How far upstreams are filled.

use crate::gate::upstream::limit;

/// An upstream that is full slows down, and took a fifth less in all.
#[test]
fn nearly_full() {
    let limits: Vec<u32> = [1, 2, 20, 63, 112].into_iter().map(limit).collect();
    assert_eq!(limits, [1, 1, 19, 60, 107]);
}
