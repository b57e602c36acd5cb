//! The ends of requests as tables for people.

use std::collections::BTreeMap;

use tabled::builder::Builder;
use tabled::settings::Style;

use crate::explain::census::{Count, Ending};

/// How a request ended, whatever the second.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Way<'a> {
    kind: &'a str,
    service: &'a str,
    at_kind: &'a str,
    reason: &'static str,
}

/// The requests that ended in one way.
#[derive(Debug, Default)]
struct Sum<'a> {
    requests: f64,
    by_second: BTreeMap<&'a str, f64>,
}

/// Returns a table of the ways in which requests ended, the most frequent first.
pub(super) fn ways(counts: &BTreeMap<Ending, Count>) -> String {
    let mut sums = BTreeMap::<Way<'_>, Sum<'_>>::new();
    for (ending, count) in counts {
        let sum = sums.entry(way(ending)).or_default();
        sum.requests += count.requests;
        *sum.by_second.entry(&ending.second).or_default() += count.requests;
    }
    let mut rows: Vec<_> = sums.into_iter().collect();
    rows.sort_by(|(_, one), (_, other)| other.requests.total_cmp(&one.requests));
    let mut builder = Builder::default();
    builder.push_record([
        "requests", "kind", "ended at", "call", "reason", "first", "last", "worst", "then",
    ]);
    for (way, sum) in rows {
        builder.push_record(way_record(&way, &sum));
    }
    builder.build().with(Style::psql()).to_string()
}

fn way(ending: &Ending) -> Way<'_> {
    Way {
        kind: &ending.kind,
        service: &ending.service,
        at_kind: &ending.at_kind,
        reason: ending.reason,
    }
}

fn way_record(way: &Way<'_>, sum: &Sum<'_>) -> [String; 9] {
    let first = sum.by_second.keys().next().copied().unwrap_or_default();
    let last = sum
        .by_second
        .keys()
        .next_back()
        .copied()
        .unwrap_or_default();
    let worst = sum.by_second.iter();
    let worst = worst.max_by(|(_, one), (_, other)| one.total_cmp(other));
    let (second, requests) = worst.map_or(("", 0.0), |(second, count)| (*second, *count));
    [
        format!("{:.0}", sum.requests),
        way.kind.to_owned(),
        way.service.to_owned(),
        way.at_kind.to_owned(),
        way.reason.to_owned(),
        clock(first),
        clock(last),
        clock(second),
        format!("{requests:.0}"),
    ]
}

/// Returns a table of the seconds in which requests ended, with the most frequent way of each.
pub(super) fn seconds(counts: &BTreeMap<Ending, Count>) -> String {
    let mut seconds = BTreeMap::<&str, BTreeMap<Way<'_>, f64>>::new();
    for (ending, count) in counts {
        let ways = seconds.entry(&ending.second).or_default();
        *ways.entry(way(ending)).or_default() += count.requests;
    }
    let mut builder = Builder::default();
    builder.push_record([
        "second",
        "requests",
        "most of them",
        "ended at",
        "reason",
        "these",
    ]);
    for (second, ways) in seconds {
        let all: f64 = ways.values().sum();
        let most = ways
            .iter()
            .max_by(|(_, one), (_, other)| one.total_cmp(other));
        let Some((way, count)) = most else {
            continue;
        };
        builder.push_record([
            clock(second),
            format!("{all:.0}"),
            way.kind.to_owned(),
            way.service.to_owned(),
            way.reason.to_owned(),
            format!("{count:.0}"),
        ]);
    }
    builder.build().with(Style::psql()).to_string()
}

/// Returns the time of day of a second.
fn clock(second: &str) -> String {
    let time = second.split_once('T').map(|(_, time)| time);
    time.unwrap_or(second).to_owned()
}

/// Returns a table of the workspaces whose requests ended so, the most concerned first; nothing if
/// no client showed a key.
pub(super) fn workspaces(counts: &BTreeMap<Ending, Count>) -> Option<String> {
    let mut sums = BTreeMap::<&str, BTreeMap<&str, f64>>::new();
    for (ending, count) in counts.iter().filter(|(one, _)| !one.workspace.is_empty()) {
        let reasons = sums.entry(&ending.workspace).or_default();
        *reasons.entry(ending.reason).or_default() += count.requests;
    }
    let all = |reasons: &BTreeMap<&str, f64>| reasons.values().sum::<f64>();
    let mut rows: Vec<_> = sums.into_iter().collect();
    rows.sort_by(|(_, one), (_, other)| all(other).total_cmp(&all(one)));
    let mut builder = Builder::default();
    builder.push_record(["workspace", "requests", "most of them", "these"]);
    for (workspace, reasons) in &rows {
        let most = reasons
            .iter()
            .max_by(|(_, one), (_, other)| one.total_cmp(other));
        let (reason, count) = most.map_or(("", 0.0), |(reason, count)| (*reason, *count));
        builder.push_record([
            (*workspace).to_owned(),
            format!("{:.0}", all(reasons)),
            reason.to_owned(),
            format!("{count:.0}"),
        ]);
    }
    let table = builder.build().with(Style::psql()).to_string();
    (!rows.is_empty()).then_some(table)
}
