//! Validity of load reports.

use std::time::Duration;

use sailtrack_units::{Moment, Pace};

use super::{PACE_MAX_AGE, Report};
use crate::dialect::tests::ResponsesOnly;
use crate::key::UpstreamKey;

const NOW: Moment = Moment::since_boot(Duration::from_secs(100));

fn updated(values: &[&str]) -> Report {
    let report = Report::default();
    let upstream = UpstreamKey::new("i-1", None).expect("a sound id");
    for value in values {
        report.update(&ResponsesOnly, &upstream, value.as_bytes(), NOW);
    }
    report
}

#[test]
fn pace_ages() {
    let report = updated(&["250"]);
    let pace = Pace::from_percent(250).ok();
    assert_eq!(report.pace(NOW), pace);
    let old = NOW + PACE_MAX_AGE;
    assert_eq!(report.pace(old.before(Duration::from_millis(1))), pace);
    assert_eq!(report.pace(old), None);
}

#[test]
fn unreadable_ones_change_nothing() {
    let report = updated(&["250", "nothing"]);
    assert_eq!(report.pace(NOW), Pace::from_percent(250).ok());
}

/// The reports show two queued requests on three slots.
#[test]
fn slowness() {
    let updated = |values: &[&str]| updated(values).slowdown();
    let queue = 1.0 + 2.0 / 3.0;
    let is_near = |one: f64, other: f64| (one - other).abs() < 1e-9;
    assert!(is_near(updated(&[]), 1.0));
    assert!(is_near(updated(&["250"]), 2.5 * queue));
    assert!(
        is_near(updated(&["50"]), queue),
        "a fast instance does not shorten the wait"
    );
    assert!(
        is_near(updated(&["250", "0"]), 2.5 * queue),
        "the last pace is kept"
    );
}

#[test]
fn without_pace() {
    let report = updated(&["0"]);
    assert_eq!(report.pace(NOW), None);
}

#[test]
fn other_life() {
    let report = updated(&["250"]);
    report.reset();
    assert_eq!(report.pace(NOW), None);
}
