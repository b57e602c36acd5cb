//! Which limits are read from responses.

use sailtrack_units::Rate;

use super::strictest;
use crate::rate_limit::RateLimit;

#[test]
fn lowest_binds() {
    let (low, high) = (Some(Rate(10.0)), Some(Rate(20.0)));
    let limited = RateLimit::Limited(Rate(10.0));
    assert_eq!(strictest([].into_iter()), RateLimit::Unlimited);
    assert_eq!(strictest([high, low].into_iter()), limited);
    assert_eq!(strictest([low, high].into_iter()), limited);
    assert_eq!(strictest([None, low].into_iter()), limited);
    assert_eq!(strictest([low, None].into_iter()), limited);
    assert_eq!(strictest([None].into_iter()), RateLimit::Unknown);
}
