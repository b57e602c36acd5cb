//! Two requests have the same identity if they ask the same, and only then.

use proptest::prelude::*;
use sailtrack_quarantine::{Hasher, Identity};

fn identity(parts: [&str; 4], body: &[&[u8]]) -> Identity {
    let [caller, method, host, target] = parts.map(str::as_bytes);
    let caller = std::str::from_utf8(caller).expect("it was text");
    let mut hasher = Hasher::new(caller, method, host, target);
    for piece in body {
        hasher.update(piece);
    }
    hasher.finish()
}

#[test]
fn same_request() {
    let parts = ["shop", "POST", "a.example", "/pay/7?x=1"];
    let whole = identity(parts, &[b"amount=17"]);
    assert_eq!(whole, identity(parts, &[b"amount", b"", b"=17"]));
    assert_eq!(whole.to_string().parse(), Ok(whole));
    assert_eq!(Identity::from_bytes(whole.as_bytes()), Some(whole));
    assert!(whole.to_string().starts_with(&whole.short()));
}

#[test]
fn each_part_counts() {
    let parts = ["shop", "POST", "a.example", "/pay/7?x=1"];
    let whole = identity(parts, &[b"17"]);
    for place in 0..parts.len() {
        let mut other = parts;
        other[place] = "b";
        assert_ne!(whole, identity(other, &[b"17"]), "{other:?}");
    }
    assert_ne!(whole, identity(parts, &[b"18"]));
    assert_ne!(whole, identity(parts, &[]));
}

#[test]
fn parts_stay_apart() {
    let one = identity(["shop", "GET", "a", "/b"], &[b"c"]);
    assert_ne!(one, identity(["shop", "GET", "a/", "b"], &[b"c"]));
    assert_ne!(one, identity(["shop", "GET", "a", "/bc"], &[]));
    assert_ne!(one, identity(["shopG", "ET", "a", "/b"], &[b"c"]));
}

#[test]
fn caller_is_known() {
    let shop = |target| identity(["shop", "GET", "a", target], &[]);
    let bank = identity(["bank", "GET", "a", "/1"], &[]);
    assert_eq!(shop("/1").caller(), shop("/2").caller());
    assert_ne!(shop("/1").caller(), bank.caller());
}

#[test]
fn bad_texts() {
    for text in ["", "12", "g".repeat(40).as_str(), "é".repeat(20).as_str()] {
        assert!(text.parse::<Identity>().is_err(), "{text}");
    }
    assert_eq!(Identity::from_bytes(&[0; 19]), None);
}

proptest! {
    #[test]
    fn pieces_do_not_matter(body in proptest::collection::vec(any::<u8>(), 0..500), cut in 0..500_usize) {
        let parts = ["shop", "POST", "a", "/"];
        let (one, two) = body.split_at(cut.min(body.len()));
        prop_assert_eq!(identity(parts, &[&body]), identity(parts, &[one, two]));
    }
}
