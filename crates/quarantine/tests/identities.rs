//! Two requests have the same identity if they ask the same, and only then.

use proptest::prelude::*;
use sailtrack_quarantine::{Caller, Hasher, Identity};

fn identity(parts: [&str; 4], body: &[&[u8]]) -> Identity {
    let mut hasher = Hasher::new(&parts.map(str::as_bytes), Caller::named(b"shop"));
    for piece in body {
        hasher.update(piece);
    }
    hasher.finish()
}

#[test]
fn same_request() {
    let parts = ["token 7", "POST", "a.example", "/pay/7?x=1"];
    let whole = identity(parts, &[b"amount=17"]);
    assert_eq!(whole, identity(parts, &[b"amount", b"", b"=17"]));
    assert_eq!(whole.to_string().parse(), Ok(whole));
    assert_eq!(Identity::from_bytes(&whole.to_bytes()), Some(whole));
    assert!(whole.to_string().starts_with(&whole.short()));
}

#[test]
fn each_part_counts() {
    let parts = ["token 7", "POST", "a.example", "/pay/7?x=1"];
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
    let one = identity(["t", "GET", "a", "/b"], &[b"c"]);
    assert_ne!(one, identity(["t", "GET", "a/", "b"], &[b"c"]));
    assert_ne!(one, identity(["t", "GET", "a", "/bc"], &[]));
    assert_ne!(one, identity(["tG", "ET", "a", "/b"], &[b"c"]));
}

/// Who answers for a request makes no difference between two, and goes with it between nodes.
#[test]
fn caller_beside_it() {
    let of = |caller| Hasher::new(&[b"/1"], caller).finish();
    let (shop, bank) = (Caller::named(b"shop"), Caller::named(b"bank"));
    assert_eq!(of(shop), of(bank));
    assert_ne!(of(shop).caller(), of(bank).caller());
    let passed_on = Identity::from_bytes(&of(bank).to_bytes()).expect("they are its bytes");
    assert_eq!(passed_on.caller(), bank);
}

#[test]
fn bad_texts() {
    for text in ["", "12", "g".repeat(32).as_str(), "é".repeat(16).as_str()] {
        assert!(text.parse::<Identity>().is_err(), "{text}");
    }
    assert_eq!(Identity::from_bytes(&[0; 19]), None);
    assert_eq!(Identity::from_bytes(&[0; 21]), None);
}

proptest! {
    #[test]
    fn pieces_do_not_matter(body in proptest::collection::vec(any::<u8>(), 0..500), cut in 0..500_usize) {
        let parts = ["", "POST", "a", "/"];
        let (one, two) = body.split_at(cut.min(body.len()));
        prop_assert_eq!(identity(parts, &[&body]), identity(parts, &[one, two]));
    }
}
