//! When the room of requests whose end is not known comes back.

use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::time::sleep;
use sailtrack_admission::{Admission, Decision, Permit};
use sailtrack_declaration::Limit;
use sailtrack_net::{runtime, task};
use sailtrack_units::Rank;

use super::{READ_TIME, Room, Stay};
use crate::clock;
use crate::node::ADMISSION_CONFIG;

const LEFT: Duration = Duration::from_secs(5);

struct Upstream {
    admission: Rc<Admission>,
    room: Rc<Room>,
}

impl Upstream {
    fn with_slots(slots: u32) -> Self {
        let admission = Rc::new(Admission::new(ADMISSION_CONFIG, Instant::now()));
        admission.declare_limit(Limit::Fixed(slots));
        let (room, kept) = Room::new();
        task::spawn("room", Rc::clone(&room).free_in_time(kept));
        Self { admission, room }
    }

    fn permit(&self) -> Option<Permit> {
        match self.admission.submit(Rank::LOWEST, false, LEFT) {
            Decision::Admitted(permit) => Some(permit),
            Decision::Waiting(_) | Decision::Refused(_) => None,
        }
    }

    /// Sends a request that the upstream may work on for this time.
    fn send(&self, time: Duration) -> Stay {
        let stay = self.room.enter(self.permit().expect("there is room"));
        let now = clock::now();
        stay.begin(now, now + time);
        stay
    }

    /// Takes in what the answer to a request that is sent now tells.
    fn settle(&self, told: usize) {
        self.answer(self.send(LEFT), told);
    }

    /// Takes in what the answer to a request tells; returns the number of the request.
    fn answer(&self, answered: Stay, told: usize) -> u64 {
        let number = answered.number.get();
        answered.end();
        drop(answered);
        self.room.settle(told, number, clock::now());
        number
    }

    fn used(&self) -> usize {
        self.admission.in_flight()
    }
}

fn play(test: impl AsyncFnOnce()) {
    runtime::run(test()).expect("a runtime");
}

#[test]
fn ended() {
    play(async || {
        let upstream = Upstream::with_slots(2);
        let stay = upstream.send(LEFT);
        stay.end();
        assert_eq!(upstream.used(), 1, "its answer may still be read");
        drop(stay);
        assert_eq!((upstream.used(), upstream.room.kept()), (0, 0));
        // One that was never sent takes nothing.
        drop(
            upstream
                .room
                .enter(upstream.permit().expect("there is room")),
        );
        assert_eq!(upstream.used(), 0);
    });
}

#[test]
fn dropped() {
    play(async || {
        let upstream = Upstream::with_slots(2);
        drop(upstream.send(Duration::from_millis(60)));
        drop(upstream.send(Duration::from_millis(60)));
        assert_eq!(upstream.used(), 2);
        assert!(upstream.permit().is_none(), "the upstream may work on them");
        sleep(Duration::from_millis(100)).await;
        assert_eq!((upstream.used(), upstream.room.kept()), (0, 0));
    });
}

#[test]
fn told_by_load() {
    play(async || {
        let upstream = Upstream::with_slots(5);
        let open = upstream.send(LEFT);
        for _ in 0..3 {
            drop(upstream.send(LEFT));
        }
        upstream.settle(4);
        assert_eq!(upstream.room.kept(), 3, "all are there");
        upstream.settle(2);
        assert_eq!((upstream.room.kept(), upstream.used()), (1, 2));
        upstream.settle(0);
        assert_eq!((upstream.room.kept(), upstream.used()), (0, 1));
        open.end();
    });
}

/// One that is silent keeps its room without counting as open; an answer after all frees it.
#[test]
fn silent() {
    play(async || {
        let upstream = Upstream::with_slots(5);
        let stay = upstream.send(LEFT);
        stay.give_up(clock::now() + LEFT);
        assert_eq!((upstream.room.kept(), upstream.used()), (1, 1));
        stay.end();
        assert_eq!((upstream.room.kept(), upstream.used()), (0, 0));
        let stay = upstream.send(LEFT);
        stay.give_up(clock::now() + LEFT);
        upstream.settle(0);
        assert_eq!(upstream.used(), 0, "it is not there");
        drop(stay);
        assert_eq!(upstream.used(), 0);
    });
}

#[test]
fn left_behind() {
    play(async || {
        let upstream = Upstream::with_slots(4);
        let until = clock::now() + Duration::from_millis(60);
        upstream.room.adopt(&upstream.admission, 9, until);
        assert_eq!(upstream.used(), 3, "one is left to hear from");
        let stay = upstream.send(LEFT);
        stay.end();
        drop(stay);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(upstream.used(), 0);
    });
}

#[test]
fn other_life() {
    play(async || {
        let upstream = Upstream::with_slots(4);
        drop(upstream.send(LEFT));
        upstream.room.clear();
        assert_eq!(upstream.used(), 0);
    });
}

/// What was sent after the answered request may have come after that was written.
#[test]
fn sent_later() {
    play(async || {
        let upstream = Upstream::with_slots(5);
        let answered = upstream.send(LEFT);
        drop(upstream.send(LEFT));
        upstream.answer(answered, 0);
        assert_eq!(upstream.room.kept(), 1, "it was not there yet");
        upstream.settle(0);
        assert_eq!(upstream.room.kept(), 0, "it has ended");
    });
}

/// A request that is open is not taken for one that the upstream counts before it can have read it.
#[test]
fn not_read_yet() {
    play(async || {
        let upstream = Upstream::with_slots(5);
        drop(upstream.send(LEFT));
        let answered = upstream.send(LEFT);
        let later = upstream.send(LEFT);
        let number = upstream.answer(answered, 1);
        assert_eq!(upstream.room.kept(), 1, "the upstream may work on it");
        let came = clock::now() + READ_TIME;
        upstream.room.settle(1, number, came);
        assert_eq!(upstream.room.kept(), 0, "the other one is counted");
        later.end();
    });
}
