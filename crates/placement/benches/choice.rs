//! How long a choice takes among few and many upstreams.

use std::hint::black_box;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use sailtrack_admission::Pressure;
use sailtrack_placement::{
    Candidate, Level, News, PaceNews, Recent, Sample, Side, Sides, Speed, Times, choose,
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
    let mut times = Times::default();
    let mut learned = Vec::new();
    for _ in 0..upstreams {
        let (mut speed, mut news) = (Speed::default(), (News::default(), PaceNews::default()));
        for _ in 0..10 {
            let sample = Sample {
                time: Duration::from_millis(random.random_range(20..900)),
                pressure: 0.5,
                pace: 1.0,
                is_whole: true,
            };
            times.note(&kind, &mut speed, now, sample);
        }
        news.0
            .note(now, Pressure(random.random_range(0.8..1.0) * pressure), 0);
        news.1.note(now, Pace::USUAL);
        learned.push((speed, news));
    }
    let recent = Recent::default();
    let mut level = Level::default();
    level.note(now, pressure);
    let near = upstreams.div_ceil(3);
    let sides = Sides {
        near,
        far: upstreams - near,
        look: |side, place| {
            let place = if side == Side::Near {
                place
            } else {
                near + place
            };
            let (speed, news): &(Speed, (News, PaceNews)) = &learned[place];
            (place % AWAY != 0).then(|| Candidate {
                is_available: true,
                pressure: news.0.pressure(now, 1, 60, &level).0,
                failing: 0.0,
                slowness: speed.slowness(now) * news.1.factor(now),
                doubt: speed.doubt(),
            })
        },
        emptier: 0.0,
        recent: &recent,
    };
    let began = Instant::now();
    for _ in 0..ROUNDS {
        let need = times.need(&kind, LEFT);
        black_box(choose(&sides, black_box(&need), &mut random));
    }
    began.elapsed() / ROUNDS
}

fn main() {
    for upstreams in [4, 14, 194, 200, 560, 3096] {
        let (room, full) = (choice(upstreams, 0.5), choice(upstreams, 1.2));
        println!("{upstreams} upstreams: {room:?} with room, {full:?} full");
    }
}
