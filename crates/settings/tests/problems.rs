//! The message for every mistake gives its file, line, section, key and the allowed values.

use sailtrack_settings::{Document, Problems};

fn problems(text: &str) -> String {
    let read = |text: &str| -> Result<(), Problems> {
        let document = Document::parse("node.ini", text)?;
        let section = document.section("node");
        let _: Option<u32> = section.required("slots", "a number");
        let _ = section.ranged("size", 5, 1..=9);
        let _: Vec<u8> = section.list("list", "numbers");
        drop(section);
        document.finish("[node]")
    };
    read(text).map_or_else(|problems| problems.to_string(), |()| String::new())
}

#[test]
fn sound_file() {
    assert_eq!(
        problems("# comment\n[node]\nslots = 4\nsize = 9\nlist = 1, 2\n"),
        ""
    );
}

#[test]
fn unknown_key() {
    let found = problems("[node]\nslots = 4\nslotz = 5\n");
    assert_eq!(
        found,
        "node.ini:3: [node] slotz: unknown key; allowed: list, size, slots"
    );
}

#[test]
fn wrong_type() {
    let found = problems("[node]\n\nslots = many\n");
    assert!(
        found.starts_with("node.ini:3: [node] slots: \"many\" is not allowed"),
        "{found}"
    );
    assert!(found.ends_with("allowed: a number"), "{found}");
}

#[test]
fn out_of_range() {
    let found = problems("[node]\nslots = 1\nsize = 10\n");
    let wanted = "node.ini:3: [node] size: \"10\" is not allowed: out of range; \
                  allowed: from 1 to 9";
    assert_eq!(found, wanted);
}

#[test]
fn missing_key() {
    let found = problems("[node]\nsize = 1\n");
    assert_eq!(
        found,
        "node.ini:1: [node] slots: the key is missing; allowed: a number"
    );
}

#[test]
fn duplicate_key() {
    let found = problems("[node]\nslots = 1\nslots = 2\n");
    assert_eq!(
        found,
        "node.ini:3: [node] slots: duplicate key, first defined on line 2"
    );
}

#[test]
fn duplicate_section() {
    let found = problems("[node]\nslots = 1\n[node]\n");
    assert!(found.contains("node.ini:3: [node] duplicate section, first defined on line 1"));
}

#[test]
fn unknown_section() {
    let found = problems("[node]\nslots = 1\n[nodes]\n");
    assert_eq!(
        found,
        "node.ini:3: [nodes] unknown section; allowed: [node]"
    );
}

#[test]
fn key_outside_section() {
    let found = problems("slots = 1\n[node]\nslots = 1\n");
    assert!(
        found.contains("node.ini:1: slots: a key must be in a section"),
        "{found}"
    );
}

#[test]
fn all_reported_together() {
    let found = problems("[node]\nslots = x\nsize = 0\nlist = 1, y\nmore = 1\n");
    assert_eq!(found.lines().count(), 4, "{found}");
}
