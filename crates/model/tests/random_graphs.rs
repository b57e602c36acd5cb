//! Graphs that nobody has seen: what holds on all of them.

use sailtrack_model::{Graph, Rules, Tally, bound, draw, play};

/// The seconds of a run.
const LENGTH: f64 = 20.0;
/// How many graphs are played.
const GRAPHS: u32 = 60;

fn share_of_bound(graph: &Graph, tally: &Tally) -> f64 {
    tally.served() / bound(graph, LENGTH)
}

/// The mean share of what the slots allow, and the graphs in which it is least.
#[test]
fn near_the_bound() {
    let mut shares: Vec<(f64, u64)> = (0..u64::from(GRAPHS))
        .map(|seed| {
            let graph = draw(seed, LENGTH);
            let tally = play(&graph, Rules::default(), seed, LENGTH);
            (share_of_bound(&graph, &tally), seed)
        })
        .collect();
    shares.sort_by(|one, other| one.0.total_cmp(&other.0));
    let mean = shares.iter().map(|(share, _)| share).sum::<f64>() / f64::from(GRAPHS);
    println!("mean {mean:.3}, least {:.3?}", &shares[..5]);
    assert!(mean > 0.92, "{mean:.3}");
    assert!(shares[0].0 > 0.6, "{:?}", shares[0]);
}

/// The same seed gives the same run.
#[test]
fn runs_repeat() {
    let graph = draw(7, LENGTH);
    let one = play(&graph, Rules::default(), 7, LENGTH);
    let other = play(&graph, Rules::default(), 7, LENGTH);
    assert_eq!(one.kinds, other.kinds);
    assert_eq!(one.runs, other.runs);
}
