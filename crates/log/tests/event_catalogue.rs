//! Checks that the documented catalogue of events agrees with the code.

use sailtrack_log::catalogue::ALL;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn every_event_documented() {
    for entry in ALL {
        let fields = entry.fields.join(", ");
        let fields = if fields.is_empty() {
            "-".to_owned()
        } else {
            fields
        };
        let row = format!(
            "| {} | {} | {} | {fields} |",
            entry.number,
            entry.level.as_str().to_lowercase(),
            entry.text
        );
        assert!(PAGE.contains(&row), "docs/EVENTS.md lacks: {row}");
    }
}

#[test]
fn nothing_else_documented() {
    let rows = PAGE
        .lines()
        .filter(|line| line.starts_with("| ") && line.contains(" | "));
    let numbered = rows.filter(|row| row[2..].starts_with(|c: char| c.is_ascii_digit()));
    assert_eq!(numbered.count(), ALL.len());
}

#[test]
fn numbers_rise() {
    assert!(ALL.windows(2).all(|pair| pair[0].number < pair[1].number));
}
