//! Samples of the known nodes, as sent to peers.

use std::collections::HashSet;

use crate::directory::{Directory, Member};

fn member(number: u16) -> Member {
    Member {
        name: format!("n{number}").parse().expect("a name"),
        service: "bank".parse().expect("a name"),
        domain: "east".parse().expect("a name"),
        address: ([127, 0, 0, 1], number).into(),
    }
}

fn directory(others: u16) -> Directory {
    let directory = Directory::new(member(0));
    for number in 1..=others {
        directory.upsert(member(number));
    }
    directory
}

#[test]
fn few_are_all_told() {
    assert_eq!(directory(5).sample(16).len(), 5);
}

/// Repeated random samples cover all nodes.
#[test]
fn some_of_many() {
    let directory = directory(100);
    let mut sampled = HashSet::new();
    for _ in 0..100 {
        let sample = directory.sample(16);
        assert_eq!(sample.len(), 16);
        sampled.extend(sample.iter().map(|member| member.name.clone()));
    }
    assert_eq!(sampled.len(), 100);
}
