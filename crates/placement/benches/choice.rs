//! How long a choice takes among few and many upstreams.

use std::hint::black_box;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_admission::Pressure;
use sailtrack_placement::{
    Average, Candidate, Candidates, Latencies, LoadReport, Locality, PaceReport, Sample, Shortlist,
    Speed, choose,
};
use sailtrack_units::{KindName, Pace};

const ROUNDS: u32 = 1_000_000;
const LEFT: Duration = Duration::from_millis(1500);
/// One in this many takes no requests.
const AWAY: usize = 10;

/// Returns the time of one choice among this many upstreams in three failure domains.
fn choice(upstreams: usize, pressure: f64) -> Duration {
    let mut random = SmallRng::seed_from_u64(1);
    let now = Instant::now();
    let kind: KindName = "browse".parse().expect("a name");
    let mut times = Latencies::default();
    let mut learned = Vec::new();
    for _ in 0..upstreams {
        let (mut speed, mut news) = (
            Speed::default(),
            (LoadReport::default(), PaceReport::default()),
        );
        for _ in 0..10 {
            let sample = Sample {
                time: Duration::from_millis(random.random_range(20..900)),
                pressure: 0.5,
                pace: 1.0,
                is_answered: true,
            };
            times.record(&kind, &mut speed, now, sample);
        }
        news.0
            .record(now, Pressure(random.random_range(0.8..1.0) * pressure), 0);
        news.1.record(now, Pace::USUAL);
        learned.push((speed, news));
    }
    let shortlist = Shortlist::default();
    let mut level = Average::default();
    level.record(now, pressure);
    let same_domain = upstreams.div_ceil(3);
    let candidates = Candidates {
        same_domain,
        other_domains: upstreams - same_domain,
        lookup: |locality, place| {
            let place = if locality == Locality::SameDomain {
                place
            } else {
                same_domain + place
            };
            let (speed, news): &(Speed, (LoadReport, PaceReport)) = &learned[place];
            (place % AWAY != 0).then(|| Candidate {
                is_available: true,
                pressure: news.0.pressure(now, 1, 60, &level).0,
                failure_rate: 0.0,
                slowness: speed.slowness(now) * news.1.factor(now),
                uncertainty: speed.uncertainty(),
            })
        },
        pressure_gap: 0.0,
        shortlist: &shortlist,
    };
    let began = Instant::now();
    for _ in 0..ROUNDS {
        let estimate = times.estimate(&kind, LEFT);
        black_box(choose(&candidates, black_box(&estimate), &mut random));
    }
    began.elapsed() / ROUNDS
}

fn main() {
    for upstreams in [4, 14, 194, 200, 560, 3096] {
        let (room, full) = (choice(upstreams, 0.5), choice(upstreams, 1.2));
        println!("{upstreams} upstreams: {room:?} with room, {full:?} full");
    }
}
