//! When requests become suspects, run on trial, are quarantined and cleared.

use std::time::Duration;

use sailtrack_quarantine::{Caller, Crash, Execution, Hasher, Identity, Ledger, Record, Standing};
use sailtrack_units::Moment;

const START: Moment = at(1000);
const TERM: Duration = Duration::from_mins(10);

const fn at(seconds: u64) -> Moment {
    Moment::since_boot(Duration::from_secs(seconds))
}

fn identity(name: &str) -> Identity {
    of_caller(name, "shop")
}

fn of_caller(name: &str, caller: &str) -> Identity {
    Hasher::new(&[name.as_bytes()], Caller::named(caller.as_bytes())).finish()
}

fn ran(name: &str, known_crashes: u8) -> Execution {
    let identity = identity(name);
    Execution {
        identity,
        known_crashes,
        succeeded_recently: false,
    }
}

fn crash(
    ledger: &mut Ledger,
    incarnation: &str,
    in_flight: &[Execution],
    now: Moment,
) -> Vec<Identity> {
    let crash = Crash {
        incarnation,
        in_flight,
        is_complete: true,
    };
    ledger.record_crash(crash, now)
}

/// Returns a ledger after three consecutive crashes with one request in common, which quarantine it.
fn after_three_crashes() -> Ledger {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", &[ran("bad", 0), ran("one", 0)], START);
    crash(&mut ledger, "b", &[ran("bad", 1), ran("two", 0)], START);
    let quarantined = crash(&mut ledger, "c", &[ran("bad", 2), ran("three", 0)], START);
    assert_eq!(quarantined, [identity("bad")]);
    ledger
}

#[test]
fn three_in_a_row() {
    let ledger = after_three_crashes();
    let standing = ledger.standing(&identity("bad"), START);
    assert_eq!(standing, Standing::Quarantined { remaining: TERM });
    for name in ["one", "two", "three"] {
        let standing = ledger.standing(&identity(name), START);
        assert_eq!(standing, Standing::Suspected { known_crashes: 1 }, "{name}");
    }
    assert_eq!(ledger.quarantined_count(START), 1);
    assert_eq!(ledger.standing(&identity("other"), START), Standing::Clear);
}

/// A failure domain loses all its upstreams at once. The requests were sent without knowledge of the
/// other crashes, so it counts as one crash for a request that ran on all of them.
#[test]
fn all_at_once() {
    let mut ledger = Ledger::default();
    for incarnation in ["a", "b", "c", "d", "e"] {
        let quarantined = crash(
            &mut ledger,
            incarnation,
            &[ran("popular", 0), ran(incarnation, 0)],
            START,
        );
        assert!(quarantined.is_empty());
    }
    let standing = ledger.standing(&identity("popular"), START);
    assert_eq!(
        standing,
        Standing::OnTrial { known_crashes: 1 },
        "one at a time"
    );
    let quarantined = crash(&mut ledger, "f", &[ran("popular", 1), ran("e", 1)], START);
    assert_eq!(
        quarantined,
        [identity("popular")],
        "a crash during its trial"
    );
}

/// Several nodes report the crash of the same upstream incarnation.
#[test]
fn told_twice() {
    let mut ledger = Ledger::default();
    for _ in 0..4 {
        crash(&mut ledger, "a", &[ran("one", 0), ran("two", 0)], START);
    }
    let standing = ledger.standing(&identity("one"), START);
    assert_eq!(standing, Standing::Suspected { known_crashes: 1 });
}

#[test]
fn alone_is_on_trial() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", &[ran("one", 0)], START);
    let standing = ledger.standing(&identity("one"), START);
    assert_eq!(standing, Standing::OnTrial { known_crashes: 1 });
}

/// If another suspect was in flight during the trial, it takes one more crash to tell which of them
/// caused it.
#[test]
fn beside_a_suspect() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", &[ran("bad", 0), ran("one", 0)], START);
    crash(&mut ledger, "b", &[ran("bad", 1), ran("two", 0)], START);
    let third = [ran("bad", 2), ran("two", 1)];
    assert!(crash(&mut ledger, "c", &third, START).is_empty());
    let fourth = [ran("bad", 3), ran("two", 2)];
    let quarantined = crash(&mut ledger, "d", &fourth, START);
    assert_eq!(quarantined, [identity("bad")]);
}

#[test]
fn good_end_clears() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", &[ran("one", 0), ran("two", 0)], START);
    crash(&mut ledger, "b", &[ran("one", 1), ran("two", 0)], START);
    let before = ledger.record_success(&identity("one"), START);
    assert_eq!(before, Standing::OnTrial { known_crashes: 2 });
    let standing = ledger.standing(&identity("one"), START);
    assert_eq!(standing, Standing::Clear);
    let quarantined = crash(&mut ledger, "c", &[ran("one", 0)], START);
    assert!(quarantined.is_empty(), "the count starts again");
}

/// Each quarantine expires into a trial. A crash leads to a longer quarantine, a success clears the
/// request.
#[test]
fn terms() {
    let mut ledger = after_three_crashes();
    let mut now = START;
    let bad = identity("bad");
    let hours = Duration::from_hours;
    let terms = [
        (TERM, hours(1)),
        (hours(1), hours(6)),
        (hours(6), hours(24)),
    ];
    for (term, next) in terms {
        now = now + term;
        let standing = ledger.standing(&bad, now);
        assert!(standing.is_on_trial(), "{term:?} later: {standing:?}");
        let incarnation = format!("after {term:?}");
        let in_flight = [ran("bad", standing.known_crashes()), ran("x", 0)];
        crash(&mut ledger, &incarnation, &in_flight, now);
        let standing = ledger.standing(&bad, now);
        assert_eq!(standing, Standing::Quarantined { remaining: next });
    }
    now = now + hours(24);
    assert!(ledger.standing(&bad, now).is_on_trial());
    ledger.record_success(&bad, now);
    assert_eq!(ledger.standing(&bad, now), Standing::Clear);
}

/// Suspicion expires after ten minutes if the request is not quarantined.
#[test]
fn suspicion_fades() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", &[ran("one", 0), ran("two", 0)], START);
    crash(&mut ledger, "b", &[ran("one", 1), ran("two", 0)], START);
    let later = START + TERM + Duration::from_secs(1);
    let standing = ledger.standing(&identity("one"), later);
    assert_eq!(standing, Standing::Clear);
    crash(&mut ledger, "c", &[ran("one", 0), ran("two", 0)], later);
    let standing = ledger.standing(&identity("one"), later);
    assert_eq!(standing, Standing::Suspected { known_crashes: 1 });
}

/// A node that connects receives requests on trial and in quarantine, and handles them alike.
#[test]
fn told_to_another() {
    let first = after_three_crashes();
    let mut second = Ledger::default();
    let elapsed = Duration::from_mins(1);
    for record in first.snapshot(START + elapsed) {
        second.merge(&record, at(5));
    }
    let remaining = TERM.saturating_sub(elapsed);
    let standing = second.standing(&identity("bad"), at(5));
    assert_eq!(
        standing,
        Standing::Quarantined { remaining },
        "relative to its own clock"
    );
    assert_eq!(second.len(), 1, "suspects are not sent");
}

/// A request cleared by an operator is not restored by a node that missed the clearing.
#[test]
fn cleared_for_good() {
    let mut ledger = after_three_crashes();
    let bad = identity("bad");
    let old: Vec<Record> = ledger.snapshot(START);
    let later = START + Duration::from_secs(30);
    let by_text: Identity = bad.to_string().parse().expect("valid text");
    assert!(ledger.clear(&by_text, later));
    assert_eq!(ledger.standing(&bad, later), Standing::Clear);
    for record in old {
        let elapsed = Duration::from_mins(1);
        let record = Record {
            age: record.age + elapsed,
            ..record
        };
        ledger.merge(&record, START + elapsed);
    }
    assert_eq!(ledger.standing(&bad, later), Standing::Clear);
    assert!(!ledger.clear(&bad, later), "already removed");
}

/// A caller that sends many distinct poison requests evicts its own entries, and no other caller's
/// quarantined request.
#[test]
fn bounded_for_each_caller() {
    let mut ledger = after_three_crashes();
    for number in 0..4000 {
        let identity = of_caller(&format!("made up {number}"), "maker");
        let made = [
            Execution {
                identity,
                ..ran("", 0)
            },
            ran("beside", 0),
        ];
        crash(&mut ledger, &format!("life {number}"), &made, START);
    }
    assert!(ledger.len() < 2048 + 10, "{}", ledger.len());
    assert!(ledger.standing(&identity("bad"), START).is_quarantined());
    for caller in 0..8 {
        for number in 0..2100 {
            let name = format!("{caller} {number}");
            let identity = of_caller(&name, &format!("maker {caller}"));
            crash(
                &mut ledger,
                &name,
                &[Execution {
                    identity,
                    ..ran("", 0)
                }],
                START,
            );
        }
    }
    assert!(ledger.len() <= 8192, "{}", ledger.len());
    assert!(ledger.standing(&identity("bad"), START).is_quarantined());
}

/// A request that succeeded recently needs two more crashes, since many callers may send it.
#[test]
fn recent_success() {
    let mut ledger = Ledger::default();
    let popular = identity("popular");
    ledger.record_success(&popular, START);
    for (number, incarnation) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let known_crashes = u8::try_from(number).expect("small");
        let quarantined = crash(
            &mut ledger,
            incarnation,
            &[ran("popular", known_crashes)],
            START,
        );
        assert!(quarantined.is_empty(), "{incarnation}");
    }
    let quarantined = crash(&mut ledger, "e", &[ran("popular", 4)], START);
    assert_eq!(quarantined, [popular]);
}

/// A success counts for one minute only.
#[test]
fn expired_success() {
    let mut ledger = Ledger::default();
    let once = identity("once");
    ledger.record_success(&once, START);
    let later = START + Duration::from_mins(2);
    for (number, incarnation) in ["a", "b", "c"].into_iter().enumerate() {
        let known_crashes = u8::try_from(number).expect("small");
        crash(
            &mut ledger,
            incarnation,
            &[ran("once", known_crashes)],
            later,
        );
    }
    assert!(ledger.standing(&once, later).is_quarantined());
}

/// A node hears of a crash after it has heard that a request which ran there was cleared: the crash
/// may have happened before that and does not suffice for quarantine.
#[test]
fn crash_reported_late() {
    let mut ledger = Ledger::default();
    assert!(!ledger.clear(&identity("popular"), START));
    let late = START + Duration::from_millis(2);
    assert!(crash(&mut ledger, "a", &[ran("popular", 2)], late).is_empty());
    // Without the clearing it does, and so does one that comes much later.
    let mut other = Ledger::default();
    assert_eq!(
        crash(&mut other, "a", &[ran("popular", 2)], late),
        [identity("popular")]
    );
    let much_later = START + Duration::from_secs(30);
    let quarantined = crash(&mut ledger, "b", &[ran("bad", 2)], much_later);
    assert_eq!(quarantined, [identity("bad")]);
}
