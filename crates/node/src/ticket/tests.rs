//! What a home node records about its tickets, for how long, and how it is handed over.

use std::time::{Duration, Instant};

use sailtrack_units::{ByteSize, Incarnation, Ticket, Timestamp};
use sailtrack_wire::{Outcome, Reason};

use crate::call::Answer;
use crate::ticket::{Disposition, Tickets};

const LIFETIME: Duration = Duration::from_secs(100);

fn tickets(memory: u64) -> Tickets {
    let home = "desk-1".parse().expect("a name");
    Tickets::builder(home, Incarnation(7))
        .lifetime(LIFETIME)
        .memory(ByteSize(memory))
        .build()
}

fn answer() -> Answer {
    Answer::done(200, String::new(), "whole answer".into())
}

#[test]
fn second_copy_waits() {
    let tickets = tickets(1 << 20);
    let ticket = tickets.mint_here();
    assert!(matches!(tickets.begin(&ticket), Disposition::Run));
    let Disposition::Wait(mut waiting) = tickets.begin(&ticket) else {
        panic!("a second copy must wait");
    };
    tickets.close(&ticket, &answer());
    let received = waiting
        .try_recv()
        .expect("not cancelled")
        .expect("an answer");
    assert_eq!(received.body, answer().body);
    assert!(matches!(tickets.begin(&ticket), Disposition::Closed(_)));
}

#[test]
fn refusal_is_final() {
    let tickets = tickets(1 << 20);
    let ticket = tickets.mint_here();
    assert!(matches!(tickets.begin(&ticket), Disposition::Run));
    tickets.close(&ticket, &Answer::not_run(Reason::Overload));
    let Disposition::Closed(answer) = tickets.begin(&ticket) else {
        panic!("a late copy must not run");
    };
    assert_eq!(answer.reason, Reason::Overload);
}

#[test]
fn other_incarnation_is_foreign() {
    let tickets = tickets(1 << 20);
    let ticket = Ticket {
        incarnation: Incarnation(6),
        ..tickets.mint_here()
    };
    assert!(matches!(tickets.begin(&ticket), Disposition::Foreign));
}

#[test]
fn old_ticket_expired() {
    let tickets = tickets(1 << 20);
    let now = Timestamp::now();
    let old = Ticket {
        minted: Timestamp(now.0 - 101_000),
        ..tickets.mint_here()
    };
    assert!(matches!(tickets.begin(&old), Disposition::Expired));
    let future = Ticket {
        minted: now.after(Duration::from_secs(200)),
        ..tickets.mint_here()
    };
    assert!(matches!(tickets.begin(&future), Disposition::Expired));
}

#[test]
fn forgotten_stays_expired() {
    let tickets = tickets(1 << 20);
    let ticket = tickets.mint_here();
    assert!(matches!(tickets.begin(&ticket), Disposition::Run));
    tickets.close(&ticket, &answer());
    tickets
        .clock
        .advance(Timestamp::now().after(Duration::from_secs(500)));
    assert!(matches!(tickets.begin(&ticket), Disposition::Expired));
    assert_eq!(tickets.size(), (0, ByteSize(0)));
    assert!(matches!(tickets.begin(&ticket), Disposition::Expired));
}

#[test]
fn memory_is_bounded() {
    let tickets = tickets(1000);
    let mut full = false;
    for _ in 0..20 {
        let ticket = tickets.mint_here();
        match tickets.begin(&ticket) {
            Disposition::Run => tickets.close(&ticket, &answer()),
            Disposition::Full => full = true,
            _ => panic!("a new ticket must run or find no memory"),
        }
    }
    assert!(full);
    assert!(tickets.size().1 <= ByteSize(1300));
}

fn successor() -> Tickets {
    let name = "desk-2".parse().expect("a name");
    Tickets::builder(name, Incarnation(9))
        .lifetime(LIFETIME * 10)
        .memory(ByteSize(1 << 20))
        .build()
}

/// Returns a home node that has answered one ticket, refused another and never received a third.
fn home_with_tickets() -> (Tickets, [Ticket; 3]) {
    let name = "desk-1".parse().expect("a name");
    let home = Tickets::builder(name, Incarnation(7))
        .lifetime(LIFETIME * 10)
        .memory(ByteSize(1 << 20))
        .build();
    let [done, refused, unused] = [home.mint_here(), home.mint_here(), home.mint_here()];
    assert!(matches!(home.begin(&done), Disposition::Run));
    home.close(&done, &answer());
    assert!(matches!(home.begin(&refused), Disposition::Run));
    home.close(&refused, &Answer::not_run(Reason::Overload));
    (home, [done, refused, unused])
}

#[test]
fn successor_knows_answers() {
    let (home, [done, refused, unused]) = home_with_tickets();
    let successor = successor();
    assert!(matches!(successor.begin(&done), Disposition::Foreign));
    for part in home.handover_parts(1) {
        assert!(successor.receive(part, Instant::now()));
    }
    let Disposition::Closed(first) = successor.begin(&done) else {
        panic!("its answer must be known");
    };
    assert_eq!(first.body, answer().body);
    let Disposition::Closed(refusal) = successor.begin(&refused) else {
        panic!("its refusal must be known");
    };
    assert_eq!(refusal.reason, Reason::Overload);
    let Disposition::Closed(never) = successor.begin(&unused) else {
        panic!("the handover is complete, so it never ran");
    };
    assert_eq!(never.outcome, Outcome::NotRun);
}

#[test]
fn partial_handover_inconclusive() {
    let (home, [_, _, unused]) = home_with_tickets();
    let successor = successor();
    let mut parts = home.handover_parts(1);
    parts.pop();
    for part in parts {
        assert!(successor.receive(part, Instant::now()));
    }
    assert!(
        matches!(successor.begin(&unused), Disposition::Foreign),
        "a missing ticket may have run"
    );
}

#[test]
fn old_ticket_not_denied() {
    let (home, [_, _, unused]) = home_with_tickets();
    let successor = successor();
    for part in home.handover_parts(1 << 20) {
        assert!(successor.receive(part, Instant::now()));
    }
    let old = Ticket {
        minted: Timestamp(unused.minted.0 - 900_000),
        ..unused
    };
    assert!(
        matches!(successor.begin(&old), Disposition::Foreign),
        "the home may have forgotten it"
    );
}

#[test]
fn running_stays_unknown() {
    let (home, [_, _, running]) = home_with_tickets();
    assert!(matches!(home.begin(&running), Disposition::Run));
    let successor = successor();
    for part in home.handover_parts(1 << 20) {
        assert!(successor.receive(part, Instant::now()));
    }
    let Disposition::Closed(answer) = successor.begin(&running) else {
        panic!("its start must be known");
    };
    assert_eq!(answer.outcome, Outcome::Unknown);
}

#[test]
fn full_successor_refuses() {
    let (home, [done, _, unused]) = home_with_tickets();
    let name = "desk-2".parse().expect("a name");
    let successor = Tickets::builder(name, Incarnation(9))
        .lifetime(LIFETIME * 10)
        .memory(ByteSize(100))
        .build();
    for part in home.handover_parts(1 << 20) {
        assert!(!successor.receive(part, Instant::now()));
    }
    assert!(matches!(successor.begin(&done), Disposition::Foreign));
    assert!(matches!(successor.begin(&unused), Disposition::Foreign));
}

#[test]
fn handed_over_forgotten() {
    let (home, [done, ..]) = home_with_tickets();
    let successor = successor();
    let now = Instant::now();
    for part in home.handover_parts(1 << 20) {
        assert!(successor.receive(part, now));
    }
    assert!(successor.size().1 > ByteSize(400));
    successor.evict_handovers(now + LIFETIME * 10);
    assert!(matches!(successor.begin(&done), Disposition::Closed(_)));
    successor.evict_handovers(now + LIFETIME * 10 + Duration::from_mins(2));
    assert_eq!(successor.size().1, ByteSize(0));
    assert!(matches!(successor.begin(&done), Disposition::Foreign));
}
