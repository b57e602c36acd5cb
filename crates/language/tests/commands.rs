//! Commands survive a round trip through parser and printer, and syntax errors name their column.

use proptest::prelude::*;
use sailtrack_language::{Command, Comparison, Condition, Subject, parse};

#[test]
fn printed_form() {
    let texts = [
        "show events",
        "show upstreams where service = ledger and state = leaving",
        "show requests unknown where kind = disbursement",
        "show requests unknown",
        "show config",
        "show command 7f-3",
        "count upstreams by state where domain != howrah",
        "set limit ledger to 20",
        "set limit ledger to auto",
        "drain ledger-2",
        "restore ledger-2",
        "move event salary-day to 2026-12-31T09:00:00.000Z",
        "cancel event salary-day",
        "settle ledger-1:17:00000000000000ff:1700000000000 as not-run",
    ];
    for text in texts {
        let command = parse(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        assert_eq!(command.to_string(), text);
    }
}

#[test]
fn column_of_mistake() {
    let cases = [
        ("shw events", 1, "show, count"),
        ("show evnts", 6, "events, upstreams"),
        ("set limit ledger 20", 18, "to"),
        ("set limit ledger to many", 21, "auto or a number"),
        (
            "show upstreams where colour = red",
            22,
            "a field of upstreams",
        ),
        ("show upstreams where state leaving", 28, "=, !="),
        ("drain Ledger", 7, "the name of a node"),
        ("settle x as done", 8, "a ticket"),
        ("show events now", 13, "the end"),
    ];
    for (text, column, expected) in cases {
        let error = parse(text).expect_err(text);
        assert_eq!(error.column, column, "{text}: {error}");
        assert!(error.expected.contains(expected), "{text}: {error}");
    }
}

#[test]
fn numbers_compare() {
    let condition = Condition {
        field: "slots".to_owned(),
        comparison: Comparison::Above,
        value: "9".to_owned(),
    };
    assert!(condition.matches("20"));
    assert!(!condition.matches("8"));
}

proptest! {
    #[test]
    fn never_panics(text in ".{0,80}") {
        let _ = parse(&text);
    }

    #[test]
    fn round_trip(value in "[a-z0-9 ]{1,12}") {
        let condition = Condition {
            field: "state".to_owned(),
            comparison: Comparison::Equal,
            value,
        };
        let command = Command::Show(Subject::Upstreams, vec![condition]);
        prop_assert_eq!(parse(&command.to_string()), Ok(command));
    }
}
