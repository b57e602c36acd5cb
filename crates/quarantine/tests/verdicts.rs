//! What is held against a request, and for how long.

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

/// Three crashes that followed each other, with others beside.
fn convicted() -> Ledger {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", &[ran("bad", 0), ran("one", 0)], START);
    crash(&mut ledger, "b", &[ran("bad", 1), ran("two", 0)], START);
    let verdicts = crash(&mut ledger, "c", &[ran("bad", 2), ran("three", 0)], START);
    assert_eq!(verdicts, [identity("bad")]);
    ledger
}

#[test]
fn three_in_a_row() {
    let ledger = convicted();
    let standing = ledger.standing(&identity("bad"), START);
    assert_eq!(standing, Standing::Quarantined { remaining: TERM });
    for name in ["one", "two", "three"] {
        let standing = ledger.standing(&identity(name), START);
        assert_eq!(standing, Standing::Suspected { known_crashes: 1 }, "{name}");
    }
    assert_eq!(ledger.quarantined_count(START), 1);
    assert_eq!(ledger.standing(&identity("other"), START), Standing::Clear);
}

/// A failure domain loses all its upstreams at once: nobody knew of one end when sending to the
/// next, so it is one crash to what ran in all of them.
#[test]
fn all_at_once() {
    let mut ledger = Ledger::default();
    for incarnation in ["a", "b", "c", "d", "e"] {
        let verdicts = crash(
            &mut ledger,
            incarnation,
            &[ran("popular", 0), ran(incarnation, 0)],
            START,
        );
        assert!(verdicts.is_empty());
    }
    let standing = ledger.standing(&identity("popular"), START);
    assert_eq!(
        standing,
        Standing::OnTrial { known_crashes: 1 },
        "one at a time"
    );
    let verdicts = crash(&mut ledger, "f", &[ran("popular", 1), ran("e", 1)], START);
    assert_eq!(
        verdicts,
        [identity("popular")],
        "its trial ended one as well"
    );
}

/// Several nodes tell of the same life.
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

/// A crash under a trial beside another suspect tells which of them it was only if it is seen
/// again.
#[test]
fn beside_a_suspect() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, "a", &[ran("bad", 0), ran("one", 0)], START);
    crash(&mut ledger, "b", &[ran("bad", 1), ran("two", 0)], START);
    let third = [ran("bad", 2), ran("two", 1)];
    assert!(crash(&mut ledger, "c", &third, START).is_empty());
    let fourth = [ran("bad", 3), ran("two", 2)];
    let verdicts = crash(&mut ledger, "d", &fourth, START);
    assert_eq!(verdicts, [identity("bad")]);
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
    let verdicts = crash(&mut ledger, "c", &[ran("one", 0)], START);
    assert!(verdicts.is_empty(), "it begins anew");
}

/// Each term ends with a trial; one that fails makes the next term longer, one that ends well
/// ends it.
#[test]
fn terms() {
    let mut ledger = convicted();
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

/// Without a verdict it is forgotten after ten minutes.
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

/// A node that connects is told of trials and verdicts, and holds the same.
#[test]
fn told_to_another() {
    let first = convicted();
    let mut second = Ledger::default();
    let passed = Duration::from_mins(1);
    for record in first.snapshot(START + passed) {
        second.merge(&record, at(5));
    }
    let remaining = TERM.saturating_sub(passed);
    let standing = second.standing(&identity("bad"), at(5));
    assert_eq!(
        standing,
        Standing::Quarantined { remaining },
        "by its own clock"
    );
    assert_eq!(second.len(), 1, "suspects are not told");
}

/// What an operator cleared does not come back with a node that has not heard of it.
#[test]
fn cleared_for_good() {
    let mut ledger = convicted();
    let bad = identity("bad");
    let old: Vec<Record> = ledger.snapshot(START);
    let later = START + Duration::from_secs(30);
    let by_text: Identity = bad.to_string().parse().expect("its text");
    assert!(ledger.clear(&by_text, later));
    assert_eq!(ledger.standing(&bad, later), Standing::Clear);
    for record in old {
        let passed = Duration::from_mins(1);
        let record = Record {
            age: record.age + passed,
            ..record
        };
        ledger.merge(&record, START + passed);
    }
    assert_eq!(ledger.standing(&bad, later), Standing::Clear);
    assert!(!ledger.clear(&bad, later), "nothing is left of it");
}

/// One caller that makes up harmful requests pushes out its own suspects, nobody else's verdict.
#[test]
fn bounded_for_each_caller() {
    let mut ledger = convicted();
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

/// What ended well lately needs two more crashes: many callers may make it.
#[test]
fn familiar() {
    let mut ledger = Ledger::default();
    let popular = identity("popular");
    ledger.record_success(&popular, START);
    for (number, incarnation) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let known_crashes = u8::try_from(number).expect("it is small");
        let verdicts = crash(
            &mut ledger,
            incarnation,
            &[ran("popular", known_crashes)],
            START,
        );
        assert!(verdicts.is_empty(), "{incarnation}");
    }
    let verdicts = crash(&mut ledger, "e", &[ran("popular", 4)], START);
    assert_eq!(verdicts, [popular]);
}

/// A request that has not come for a minute is as good as new.
#[test]
fn no_more_familiar() {
    let mut ledger = Ledger::default();
    let once = identity("once");
    ledger.record_success(&once, START);
    let later = START + Duration::from_mins(2);
    for (number, incarnation) in ["a", "b", "c"].into_iter().enumerate() {
        let known_crashes = u8::try_from(number).expect("it is small");
        crash(
            &mut ledger,
            incarnation,
            &[ran("once", known_crashes)],
            later,
        );
    }
    assert!(ledger.standing(&once, later).is_quarantined());
}
