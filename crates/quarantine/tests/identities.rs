//! Two requests have the same identity exactly if their content is equal.

use proptest::prelude::*;
use sailtrack_quarantine::{Caller, Hasher, Identity};

fn identity(parts: [&str; 4], body: &[&[u8]]) -> Identity {
    let mut hasher = Hasher::new(&parts.map(str::as_bytes), Caller::named(b"shop"));
    for chunk in body {
        hasher.update(chunk);
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
    for index in 0..parts.len() {
        let mut other = parts;
        other[index] = "b";
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

/// The caller does not affect equality, and is preserved by serialization.
#[test]
fn caller_beside_it() {
    let identity_of = |caller| Hasher::new(&[b"/1"], caller).finish();
    let (shop, bank) = (Caller::named(b"shop"), Caller::named(b"bank"));
    assert_eq!(identity_of(shop), identity_of(bank));
    assert_ne!(identity_of(shop).caller(), identity_of(bank).caller());
    let decoded = Identity::from_bytes(&identity_of(bank).to_bytes()).expect("valid length");
    assert_eq!(decoded.caller(), bank);
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
