//! Printing a value and parsing it back gives the same value.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use sailtrack_units::{
    Allowance, ByteSize, Clock, Era, Importance, Incarnation, Pace, Period, Rank, Rate, Ratio,
    RequestId, ServiceName, Ticket, Timestamp,
};

fn assert_round_trip<T: Display + FromStr + PartialEq + std::fmt::Debug>(value: &T)
where
    T::Err: std::fmt::Debug,
{
    let text = value.to_string();
    assert_eq!(
        &text.parse::<T>().expect("the printed value parses"),
        value,
        "{text}"
    );
}

#[test]
fn all_kinds() {
    assert_round_trip(&Period(Duration::from_millis(90_250)));
    assert_round_trip(&ByteSize(3 << 20));
    assert_round_trip(&ByteSize(1025));
    assert_round_trip(&Rate(12.5));
    assert_round_trip(&Ratio(0.25));
    assert_round_trip(&Allowance(3));
    assert_round_trip(&Era(4));
    assert_round_trip(&Pace::from_percent(250).expect("a valid pace"));
    assert_round_trip(&RequestId(0xfeed));
    assert_round_trip(&Timestamp(1_767_000_000_123));
    assert_round_trip(&"ledger-1".parse::<ServiceName>().expect("a valid name"));
    assert_round_trip(&Rank::from_index(77));
    for importance in Importance::ALL {
        assert_round_trip(&importance);
    }
    assert_round_trip(&Ticket {
        home: "paydesk-1".parse().expect("a valid name"),
        incarnation: Incarnation(17),
        serial: u64::MAX,
        minted: Timestamp(5),
    });
}

#[test]
fn refused_texts() {
    assert!("5".parse::<Period>().is_err());
    assert!("5GiB".parse::<ByteSize>().is_err());
    assert!("-1/s".parse::<Rate>().is_err());
    assert!("1.1".parse::<Ratio>().is_err());
    assert!("101".parse::<Allowance>().is_err());
    assert!("0".parse::<Pace>().is_err());
    assert!("10001".parse::<Pace>().is_err());
    assert!("Ledger".parse::<ServiceName>().is_err());
    assert!("".parse::<ServiceName>().is_err());
    assert!("a:1:2".parse::<Ticket>().is_err());
}

#[test]
fn importance_decides_rank() {
    let low = Rank::new(Importance::Low, RequestId(1));
    let high = Rank::new(Importance::High, RequestId(2));
    assert!(low < high);
    assert_eq!(high.importance(), Importance::High);
}

#[test]
fn clock_never_back() {
    let clock = Clock::default();
    assert_eq!(clock.advance(Timestamp(100)), Timestamp(100));
    assert_eq!(clock.advance(Timestamp(50)), Timestamp(100));
}
