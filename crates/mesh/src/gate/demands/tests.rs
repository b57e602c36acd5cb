//! Which demands are read from responses.

use sailtrack_net::http::Request;
use sailtrack_units::Rate;

use super::Demands;
use crate::configuration::Configuration;
use crate::dialect::{Announcement, Dialect, DialectError, FieldNames, Load};
use crate::rate_limit::RateLimit;

/// A dialect that reads demands only.
struct DemandsOnly;

impl Dialect for DemandsOnly {
    fn fields(&self) -> &FieldNames {
        unreachable!("no response is sent")
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

    fn load(&self, _value: &str) -> Option<Load> {
        None
    }

    fn rate_limit(&self, value: &str) -> Option<Rate> {
        value.parse().ok().map(Rate)
    }

    fn is_leaving(&self, value: &str) -> bool {
        value == "yes"
    }
}

fn read(limits: &[&str], leaving: &[&str]) -> Demands {
    let limits = limits.iter().map(|value| value.as_bytes());
    let leaving = leaving.iter().map(|value| value.as_bytes());
    Demands::read(&DemandsOnly, limits, leaving)
}

#[test]
fn lowest_binds() {
    let limit = |limits: &[&str]| read(limits, &[]).limit;
    let limited = RateLimit::Limited(Rate(10.0));
    assert_eq!(limit(&[]), RateLimit::Unlimited);
    assert_eq!(limit(&["20", "10"]), limited);
    assert_eq!(limit(&["10", "20"]), limited);
    assert_eq!(limit(&["ten", "10"]), limited);
    assert_eq!(limit(&["10", "ten"]), limited);
    assert_eq!(limit(&["ten"]), RateLimit::Unknown);
}

/// A rejection without the field ended the limit, and the next requests were sent without one.
#[test]
fn rejection_ends_nothing() {
    let rejection = |limits: &[&str]| read(limits, &[]).of_rejection().limit;
    assert_eq!(rejection(&[]), RateLimit::Unknown);
    assert_eq!(rejection(&["10"]), RateLimit::Limited(Rate(10.0)));
}

#[test]
fn one_value_suffices() {
    assert!(!read(&[], &[]).is_leaving);
    assert!(!read(&[], &["no"]).is_leaving);
    assert!(read(&[], &["no", "yes"]).is_leaving);
}

#[test]
fn shortened_in_logs() {
    let long = "x".repeat(8192);
    let unreadable = read(&[&long], &[]).unreadable;
    assert_eq!(unreadable.expect("a value").len(), 64);
}
