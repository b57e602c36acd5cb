//! What is kept of what an upstream says about its load, and for how long.

use std::time::Duration;

use sailtrack_net::http::Request;
use sailtrack_units::{Moment, Pace};

use super::{PACE_TIME, Report};
use crate::configuration::Configuration;
use crate::dialect::{Announcement, Dialect, DialectError, FieldNames, Load};
use crate::key::UpstreamKey;

/// Reads a pace alone.
struct PaceOnly;

impl Dialect for PaceOnly {
    fn fields(&self) -> &FieldNames {
        unreachable!("nothing is sent")
    }

    fn announcement(&self, _request: &Request) -> Result<Announcement, DialectError> {
        Err(DialectError::NotFound)
    }

    fn acknowledgement(&self) -> String {
        String::new()
    }

    fn is_readiness_probe(&self, _request: &Request) -> bool {
        false
    }

    fn configuration(&self, _text: &str) -> Result<Configuration, DialectError> {
        Err(DialectError::NotFound)
    }

    fn load(&self, value: &str) -> Option<Load> {
        let pace = value.parse().ok();
        (value != "nothing").then_some(Load {
            running: 1,
            waiting: 2,
            slots: 3,
            pace,
            is_complete: pace.is_some(),
        })
    }
}

const NOW: Moment = Moment::since_boot(Duration::from_secs(100));

fn told(values: &[&str]) -> Report {
    let report = Report::default();
    let upstream = UpstreamKey::new("i-1", None).expect("a sound id");
    for value in values {
        report.take(&PaceOnly, &upstream, value.as_bytes(), NOW);
    }
    report
}

#[test]
fn pace_ages() {
    let report = told(&["250"]);
    let pace = Pace::from_percent(250).ok();
    assert_eq!(report.pace(NOW), pace);
    let old = NOW + PACE_TIME;
    assert_eq!(report.pace(old.before(Duration::from_millis(1))), pace);
    assert_eq!(report.pace(old), None);
}

#[test]
fn unreadable_ones_change_nothing() {
    let report = told(&["250", "nothing"]);
    assert_eq!(report.pace(NOW), Pace::from_percent(250).ok());
}

/// Two of three slots' worth of requests wait.
#[test]
fn slowness() {
    let told = |values: &[&str]| told(values).slowness();
    let queue = 1.0 + 2.0 / 3.0;
    let is_near = |one: f64, other: f64| (one - other).abs() < 1e-9;
    assert!(is_near(told(&[]), 1.0));
    assert!(is_near(told(&["250"]), 2.5 * queue));
    assert!(
        is_near(told(&["50"]), queue),
        "a quick one is not waited for less"
    );
    assert!(
        is_near(told(&["250", "0"]), 2.5 * queue),
        "the last pace stays"
    );
}

#[test]
fn without_pace() {
    let report = told(&["0"]);
    assert_eq!(report.pace(NOW), None);
}

#[test]
fn other_life() {
    let report = told(&["250"]);
    report.renew();
    assert_eq!(report.pace(NOW), None);
}
