//! Measures the time of one choice among few and among many upstreams.

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
const TIME_LEFT: Duration = Duration::from_millis(1500);
/// One upstream in this many takes no requests.
const UNAVAILABLE_INTERVAL: usize = 10;

/// Returns the average time of one choice among this many upstreams in three failure domains.
fn choice(upstreams: usize, pressure: f64) -> Duration {
    let mut random = SmallRng::seed_from_u64(1);
    let now = Instant::now();
    let kind: KindName = "browse".parse().expect("valid name");
    let mut latencies = Latencies::default();
    let mut upstream_stats = Vec::new();
    for _ in 0..upstreams {
        let (mut speed, mut reports) = (
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
            latencies.record(&kind, &mut speed, now, sample);
        }
        reports
            .0
            .record(now, Pressure(random.random_range(0.8..1.0) * pressure), 0);
        reports.1.record(now, Pace::USUAL);
        upstream_stats.push((speed, reports));
    }
    let shortlist = Shortlist::default();
    let mut average = Average::default();
    average.record(now, pressure);
    let same_domain = upstreams.div_ceil(3);
    let candidates = Candidates {
        same_domain,
        other_domains: upstreams - same_domain,
        lookup: |locality, index| {
            let index = if locality == Locality::SameDomain {
                index
            } else {
                same_domain + index
            };
            let (speed, reports): &(Speed, (LoadReport, PaceReport)) = &upstream_stats[index];
            (index % UNAVAILABLE_INTERVAL != 0).then(|| Candidate {
                is_available: true,
                pressure: reports.0.pressure(now, 1, 60, &average).0,
                failure_rate: 0.0,
                slowness: speed.slowness(now) * reports.1.factor(now),
                uncertainty: speed.uncertainty(),
            })
        },
        pressure_gap: 0.0,
        shortlist: &shortlist,
    };
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let estimate = latencies.estimate(&kind, TIME_LEFT);
        black_box(choose(&candidates, black_box(&estimate), &mut random));
    }
    started.elapsed() / ROUNDS
}

fn main() {
    for upstreams in [4, 14, 194, 200, 560, 3096] {
        let (spare, saturated) = (choice(upstreams, 0.5), choice(upstreams, 1.2));
        println!("{upstreams} upstreams: {spare:?} with spare capacity, {saturated:?} saturated");
    }
}
