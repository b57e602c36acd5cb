use super::change::{Change, diff};
use super::watcher::Watcher;
use crate::settings::Settings;

const TEXT: &str = "[node]\nname = a\nservice = shop\ndomain = east\n\
    [ports]\nentry = 127.0.0.1:1\nready = 127.0.0.1:2\nannouncements = 127.0.0.1:3\npeer = 127.0.0.1:4\n\
    [upstream]\naddress = 127.0.0.1:5\n[store]\naddress = 127.0.0.1:6\n\
    [bounds]\nstop-time = 6s\nretry-ratio = 0.2\nretry-slack = 100\nretry-window = 10s\n";

fn settings(from: &str, to: &str) -> Settings {
    assert!(TEXT.contains(from), "{from}");
    Settings::parse("node.ini", &TEXT.replace(from, to)).expect("valid settings")
}

/// Returns a watcher that has applied the text with which the node started.
fn after_one() -> Watcher {
    let mut watcher = Watcher::default();
    assert_eq!(
        watcher.observe("one".to_owned(), true).as_deref(),
        Some("one")
    );
    watcher
}

#[test]
fn twice_seen() {
    let mut watcher = after_one();
    assert_eq!(watcher.observe("one".to_owned(), false), None);
    assert_eq!(watcher.observe("tw".to_owned(), false), None);
    assert_eq!(watcher.observe("two".to_owned(), false), None);
    assert_eq!(
        watcher.observe("two".to_owned(), false).as_deref(),
        Some("two")
    );
    assert_eq!(watcher.observe("two".to_owned(), false), None);
}

#[test]
fn asked_for() {
    let mut watcher = after_one();
    assert_eq!(
        watcher.observe("two".to_owned(), true).as_deref(),
        Some("two")
    );
    assert_eq!(watcher.observe("two".to_owned(), true), None);
    assert_eq!(
        watcher.observe("one".to_owned(), true).as_deref(),
        Some("one")
    );
}

#[test]
fn changes_back() {
    let mut watcher = after_one();
    assert_eq!(watcher.observe("two".to_owned(), false), None);
    assert_eq!(watcher.observe("one".to_owned(), false), None);
    assert_eq!(watcher.observe("two".to_owned(), false), None);
}

#[test]
fn live_changes() {
    let before = settings("name = a", "name = a");
    let after = settings("retry-slack = 100", "retry-slack = 90");
    assert_eq!(diff(&before, &after), [Change::Retry]);
    assert!(Change::Retry.is_live());
    let after = settings("stop-time = 6s", "stop-time = 5s\nrevoke-time = 4s");
    assert_eq!(
        diff(&before, &after),
        [Change::StopTime, Change::RevokeTime]
    );
}

#[test]
fn fixed_changes() {
    let before = settings("name = a", "name = a");
    let after = settings("entry = 127.0.0.1:1", "entry = 127.0.0.1:9");
    assert_eq!(diff(&before, &after), [Change::Ports]);
    assert!(!Change::Ports.is_live());
    let kept = after.with_fixed_from(before.clone());
    assert_eq!(kept.ports, before.ports);
}
