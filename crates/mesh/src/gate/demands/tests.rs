//! Which demands are read from responses.

use sailtrack_units::Rate;

use super::Demands;
use crate::dialect::tests::ResponsesOnly;
use crate::rate_limit::RateLimit;

fn read(limits: &[&str], leaving: &[&str]) -> Demands {
    let limits = limits.iter().map(|value| value.as_bytes());
    let leaving = leaving.iter().map(|value| value.as_bytes());
    Demands::read(&ResponsesOnly, limits, leaving)
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
