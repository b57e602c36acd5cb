//! What each mechanism of the decisions is worth on service graphs drawn at random.

use std::thread;

use sailtrack_model::{Mechanism, Rules, Tally, bound, draw, play};
use serde::Serialize;

use crate::error::RigError;

/// The seconds that each graph is played for.
const LENGTH: f64 = 30.0;
/// The graphs that are named because they are served worst.
const WORST: usize = 5;

/// How one graph was served.
#[derive(Debug, Clone, Copy, Serialize)]
struct Outcome {
    seed: u64,
    /// The share of the requests that was served.
    served: f64,
    /// That share as a part of what the slots allow.
    of_bound: f64,
    /// The share of the time of slots that was held for requests that failed.
    thrown_away: f64,
    /// The served share of the kind that got least, as a part of that of the one that got most.
    evenness: f64,
}

/// How all graphs were served under the same rules.
#[derive(Debug, Serialize)]
struct Row {
    rules: String,
    served: f64,
    of_bound: f64,
    thrown_away: f64,
    evenness: f64,
    worst: Vec<Outcome>,
}

/// Plays this many graphs under all rules and without each mechanism, and prints the means.
pub fn run(graphs: u64, is_json: bool) -> Result<(), RigError> {
    let mut rules = vec![("all".to_owned(), Rules::default())];
    rules.extend(Mechanism::ALL.map(|mechanism| {
        let name = format!("without {mechanism}");
        (name, Rules::without(mechanism))
    }));
    let rows: Vec<Row> = rules
        .into_iter()
        .map(|(name, rules)| row(name, rules, graphs))
        .collect();
    if is_json {
        let text = serde_json::to_string_pretty(&rows);
        println!(
            "{}",
            text.map_err(|error| RigError::Output(error.to_string()))?
        );
    } else {
        print(&rows);
    }
    Ok(())
}

fn row(rules_name: String, rules: Rules, graphs: u64) -> Row {
    let mut outcomes = outcomes(rules, graphs);
    outcomes.sort_by(|one, other| one.of_bound.total_cmp(&other.of_bound));
    #[allow(clippy::cast_precision_loss)]
    let count = outcomes.len().max(1) as f64;
    let mean = |value: fn(&Outcome) -> f64| outcomes.iter().map(value).sum::<f64>() / count;
    Row {
        rules: rules_name,
        served: mean(|outcome| outcome.served),
        of_bound: mean(|outcome| outcome.of_bound),
        thrown_away: mean(|outcome| outcome.thrown_away),
        evenness: mean(|outcome| outcome.evenness),
        worst: outcomes.into_iter().take(WORST).collect(),
    }
}

/// Plays the graphs on some threads at once; the model keeps its time on each thread.
fn outcomes(rules: Rules, graphs: u64) -> Vec<Outcome> {
    let threads = thread::available_parallelism()
        .map_or(1, |count| count.get() / 2)
        .max(1) as u64;
    thread::scope(|scope| {
        let parts = (0..threads).map(|first| {
            scope.spawn(move || {
                let seeds = (first..graphs).step_by(usize::try_from(threads).unwrap_or(1));
                seeds.map(|seed| outcome(seed, rules)).collect::<Vec<_>>()
            })
        });
        let parts: Vec<_> = parts.collect();
        let joined = parts
            .into_iter()
            .flat_map(|part| part.join().unwrap_or_default());
        joined.collect()
    })
}

fn outcome(seed: u64, rules: Rules) -> Outcome {
    let graph = draw(seed, LENGTH);
    let tally = play(&graph, rules, seed, LENGTH);
    Outcome {
        seed,
        served: tally.served(),
        of_bound: tally.served() / bound(&graph, LENGTH),
        thrown_away: tally.thrown_away_share(),
        evenness: evenness(&tally),
    }
}

fn evenness(tally: &Tally) -> f64 {
    let asked = tally.kinds.iter().filter(|kind| kind.asked > 0);
    let shares: Vec<f64> = asked.map(sailtrack_model::GroupTally::served).collect();
    let least = shares.iter().copied().fold(1.0, f64::min);
    let most = shares.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    least / most
}

fn print(rows: &[Row]) {
    println!("rules | served | of the bound | thrown away | least kind / most | worst graphs");
    for row in rows {
        let worst = row
            .worst
            .iter()
            .map(|outcome| format!("{} ({:.2})", outcome.seed, outcome.of_bound));
        println!(
            "{} | {:.4} | {:.4} | {:.4} | {:.3} | {}",
            row.rules,
            row.served,
            row.of_bound,
            row.thrown_away,
            row.evenness,
            worst.collect::<Vec<_>>().join(", ")
        );
    }
}
