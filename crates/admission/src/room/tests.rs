//! An upstream with eight slots whose calls take 10 ms: it answers 800 in a second.

use std::time::{Duration, Instant};

use sailtrack_units::Rank;

use crate::room::{Occupancy, Room};

const LIMIT: usize = 8;

/// Plays so many milliseconds in which so many calls come in each, of ranks from 64 to 127, as far
/// as the floor lets them in.
struct Play {
    room: Room,
    now: Instant,
    /// The time that each running call still takes.
    running: Vec<u32>,
    waiting: usize,
    rank: u8,
}

impl Play {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            room: Room::new(now),
            now,
            running: Vec::new(),
            waiting: 0,
            rank: 0,
        }
    }

    fn run(&mut self, millis: u32, each: u32) {
        for _ in 0..millis {
            self.now += Duration::from_millis(1);
            self.work();
            for _ in 0..each {
                self.rank = (self.rank + 29) % 64;
                self.arrive(Rank::from_index(64 + self.rank));
            }
        }
    }

    fn work(&mut self) {
        let before = self.running.len();
        self.running.iter_mut().for_each(|left| *left -= 1);
        self.running.retain(|left| *left > 0);
        for _ in self.running.len()..before {
            self.room.note_answered();
        }
        while self.running.len() < LIMIT && self.waiting > 0 {
            self.waiting -= 1;
            self.running.push(10);
        }
    }

    fn arrive(&mut self, rank: Rank) {
        if !self.room.floor().lets_in(rank) {
            return;
        }
        let found = Occupancy {
            running: self.running.len(),
            waiting: self.waiting,
            limit: LIMIT,
        };
        self.room.note(self.now, rank, found);
        if self.running.len() < LIMIT {
            self.running.push(10);
        } else {
            self.waiting += 1;
        }
    }
}

/// At two and a half times what it can do, it holds back what is too much within half a second,
/// and goes on so.
#[test]
fn full_upstream_tells() {
    let mut play = Play::new();
    play.run(500, 2);
    for _ in 0..20 {
        play.run(100, 2);
        let number = play.room.floor().number();
        // A part of 0.4 of what comes fits.
        assert!((88..=118).contains(&number), "{number}");
    }
    assert!(play.waiting < LIMIT * 10, "{} wait", play.waiting);
}

/// With room to spare it tells nothing, and it forgets what it told.
#[test]
fn forgets_with_room() {
    let mut play = Play::new();
    play.run(1000, 2);
    assert!(!play.room.floor().is_none());
    play.waiting = 0;
    play.running.clear();
    // A call in two milliseconds takes five of the eight slots.
    for _ in 0..500 {
        play.run(1, 1);
        play.run(1, 0);
    }
    assert!(play.room.floor().is_none(), "{}", play.room.floor());
}
