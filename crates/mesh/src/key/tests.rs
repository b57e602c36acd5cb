//! Lives of upstreams, and how they are written.

use sailtrack_units::Timestamp;

use crate::key::UpstreamKey;

fn key(id: &str, started: Option<u64>) -> UpstreamKey {
    UpstreamKey::new(id, started.map(Timestamp)).expect("a sound id")
}

#[test]
fn text_and_back() {
    for known in [key("i-1", None), key("i-1", Some(1_790_000_000_000))] {
        assert_eq!(known.to_string().parse(), Ok(known));
    }
    for wrong in ["", "/5", "i-1/", "i-1/5.0", "i-1/-5", "i-1/5/6", "i-1/x"] {
        assert!(wrong.parse::<UpstreamKey>().is_err(), "{wrong:?}");
    }
}

#[test]
fn same_life() {
    let (first, second) = (key("i-1", Some(5)), key("i-1", Some(6)));
    assert!(!first.is_same_incarnation(&second));
    assert!(first.is_same_incarnation(&key("i-1", None)));
    assert!(!first.is_same_incarnation(&key("i-2", Some(5))));
    assert!(first.is_older_than(&second));
    assert!(!second.is_older_than(&first));
    assert!(!key("i-1", None).is_older_than(&second));
}
