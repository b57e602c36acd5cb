use super::*;

/// A longer body is expected again at once, a shorter one gradually.
#[test]
fn follows_lengths() {
    let lengths = Lengths::default();
    let kind: KindName = "r-1".parse().expect("a name");
    assert_eq!(lengths.expected(&kind), INITIAL_BYTES);
    lengths.record(&kind, 16_000_000);
    assert_eq!(lengths.expected(&kind), 16_000_000);
    lengths.record(&kind, 1000);
    assert_eq!(lengths.expected(&kind), 15_000_000);
    for _ in 0..400 {
        lengths.record(&kind, 1000);
    }
    assert!(lengths.expected(&kind) < 1100);
}
