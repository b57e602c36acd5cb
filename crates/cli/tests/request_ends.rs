//! `sailtrack explain` without an id counts the requests that did not succeed, by kind, service and
//! root cause.

mod support;

use serde_json::{Value, json};
use support::{explain, line};

fn endings(logs: &str) -> Value {
    let output = explain(&["--output", "json"], logs);
    assert_eq!(output.status.code(), Some(0));
    serde_json::from_slice(&output.stdout).expect("the output is JSON")
}

/// Returns the estimated number of requests that failed at a service for a reason.
fn requests(endings: &Value, service: &str, reason: &str) -> f64 {
    let rows = endings["endings"].as_array().expect("a list");
    let rows = rows
        .iter()
        .filter(|row| row["ending"]["service"] == service && row["ending"]["reason"] == reason);
    rows.filter_map(|row| row["count"]["requests"].as_f64())
        .sum()
}

/// Returns the log lines in which two nodes name the services of their upstreams.
fn announced() -> String {
    let bank = json!({"service": "bank", "slots": "8"});
    let desk = json!({"service": "desk", "slots": "8"});
    line("bank-1", 100, 410, "upstream announced", &bank)
        + &line("desk-1", 100, 410, "upstream announced", &desk)
}

fn refused(request: &str, millis: u32) -> String {
    let gate = json!({"request": request, "kind": "read", "at": "gate", "bound": "queue",
                      "reason": "REASON_OVERLOAD", "calls": "57"});
    let entry = json!({"request": request, "kind": "read", "at": "entry", "node": "bank-1",
                       "reason": "REASON_OVERLOAD", "tries": "1", "pressure": "200",
                       "version": "7", "after_ms": "4"});
    line("bank-1", millis, 800, "request refused", &gate)
        + &line("desk-1", millis, 800, "request refused", &entry)
}

fn failed(request: &str, millis: u32) -> String {
    let end = json!({"request": request, "kind": "lookup", "status": "500", "below": "true",
                     "node": "desk-1", "tries": "1", "pressure": "120", "version": "7",
                     "after_ms": "40"});
    line(
        "desk-1",
        millis,
        805,
        "request answered with a failure",
        &end,
    )
}

/// A failed request is attributed to the nested call that failed, and a refused one to the node
/// whose queue was full.
#[test]
fn deepest_decision() {
    let logs = announced()
        + &refused("a1", 5000)
        + &refused("b2.7", 5010)
        + &failed("b2", 5020)
        + &refused("c3", 6000);
    let endings = endings(&logs);
    assert!(
        (requests(&endings, "bank", "full") - 3.0).abs() < 1e-9,
        "{endings}"
    );
    let rows = endings["endings"].as_array().expect("a list");
    assert_eq!(rows.len(), 3, "by kind and second: {endings}");
    let lookup = rows.iter().find(|row| row["ending"]["kind"] == "lookup");
    let lookup = lookup.expect("the client's kind");
    assert_eq!(lookup["ending"]["at_kind"], "read");
    assert_eq!(lookup["ending"]["second"], "2026-12-02T09:00:05");
}

/// A node logged two of eight refusals, so each of the two counts as four.
#[test]
fn left_out() {
    let gap = json!({"count": "6", "about": "refusals", "kept": "0", "span_ms": "1000"});
    let logs = announced()
        + &refused("a1", 5200)
        + &refused("a2", 5300)
        + &line("desk-1", 6000, 810, "events left out", &gap)
        + &refused("a3", 6100);
    let endings = endings(&logs);
    assert!(
        (requests(&endings, "bank", "full") - 9.0).abs() < 1e-9,
        "{endings}"
    );
    assert_eq!(endings["events_left_out"], 6);
}

/// The nested call of one of two requests was not logged, so that request is counted under the
/// cause of the other one.
#[test]
fn call_left_out() {
    let logs = announced() + &refused("b2.7", 5010) + &failed("b2", 5020) + &failed("b3", 5030);
    let endings = endings(&logs);
    assert!(
        (requests(&endings, "bank", "full") - 2.0).abs() < 1e-9,
        "{endings}"
    );
}

#[test]
fn tables() {
    let logs = announced() + &refused("a1", 5000) + &refused("a2", 59_000);
    let output = explain(&[], &logs);
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    for part in ["requests", "bank", "full", "09:00:05", "09:00:59"] {
        assert!(text.contains(part), "{part} is missing: {text}");
    }
}

#[test]
fn nothing_ended() {
    let output = explain(&[], "no log line\n");
    assert_eq!(output.status.code(), Some(4), "unknown");
}

#[test]
fn files_only() {
    let folder = env!("CARGO_TARGET_TMPDIR");
    let file = format!("{folder}/ends.log");
    std::fs::write(&file, announced() + &refused("a1", 5000)).expect("the log can be written");
    let output = explain(&["--all", &file, "--output", "json"], "");
    let endings: Value = serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert!(
        (requests(&endings, "bank", "full") - 1.0).abs() < 1e-9,
        "{endings}"
    );
}

/// Failed requests are also listed by workspace, the one with the most of them first.
#[test]
fn by_workspace() {
    let over = |request: &str, workspace: &str| {
        let end = json!({"request": request, "kind": "read", "at": "entry", "node": "none",
                         "reason": "REASON_OVER_QUOTA", "tries": "0", "pressure": "0",
                         "workspace": workspace, "version": "7", "after_ms": "1"});
        line("desk-1", 5000, 800, "request refused", &end)
    };
    let logs = announced() + &over("a1", "clinics") + &over("a2", "mills") + &over("a3", "mills");
    let endings = endings(&logs);
    let rows = endings["endings"].as_array().expect("a list").iter();
    let of_mills = rows.filter(|row| row["ending"]["workspace"] == "mills");
    let count = |row: &Value| row["count"]["requests"].as_f64();
    assert!((of_mills.filter_map(count).sum::<f64>() - 2.0).abs() < 1e-9);
    let output = explain(&["--all"], &logs);
    let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let row = |name: &str| {
        text.lines()
            .position(|line| line.trim_start().starts_with(name))
    };
    assert!(row("mills") < row("clinics"), "{text}");
    assert!(row("mills").is_some(), "{text}");
}
