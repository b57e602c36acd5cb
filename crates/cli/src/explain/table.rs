//! Tables of the outcomes of requests.

use std::collections::BTreeMap;

use tabled::builder::Builder;
use tabled::settings::Style;

use crate::explain::aggregate::{Count, Ending};

/// A group of endings that differ only in their second and workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Group<'a> {
    kind: &'a str,
    service: &'a str,
    at_kind: &'a str,
    reason: &'static str,
}

/// The number of requests in a group, in total and per second.
#[derive(Debug, Default)]
struct Sum<'a> {
    requests: f64,
    by_second: BTreeMap<&'a str, f64>,
}

/// Returns a table of the groups, the most frequent first.
pub(super) fn by_reason(counts: &BTreeMap<Ending, Count>) -> String {
    let mut sums = BTreeMap::<Group<'_>, Sum<'_>>::new();
    for (ending, count) in counts {
        let sum = sums.entry(group(ending)).or_default();
        sum.requests += count.requests;
        *sum.by_second.entry(&ending.second).or_default() += count.requests;
    }
    let mut rows: Vec<_> = sums.into_iter().collect();
    rows.sort_by(|(_, one), (_, other)| other.requests.total_cmp(&one.requests));
    let mut builder = Builder::default();
    builder.push_record([
        "requests", "kind", "ended at", "call", "reason", "first", "last", "worst", "then",
    ]);
    for (group, sum) in rows {
        builder.push_record(group_record(&group, &sum));
    }
    builder.build().with(Style::psql()).to_string()
}

fn group(ending: &Ending) -> Group<'_> {
    Group {
        kind: &ending.kind,
        service: &ending.service,
        at_kind: &ending.at_kind,
        reason: ending.reason,
    }
}

fn group_record(group: &Group<'_>, sum: &Sum<'_>) -> [String; 9] {
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
        group.kind.to_owned(),
        group.service.to_owned(),
        group.at_kind.to_owned(),
        group.reason.to_owned(),
        time_of_day(first),
        time_of_day(last),
        time_of_day(second),
        format!("{requests:.0}"),
    ]
}

/// Returns a table of the seconds in which requests ended, with the most frequent group of each.
pub(super) fn by_second(counts: &BTreeMap<Ending, Count>) -> String {
    let mut seconds = BTreeMap::<&str, BTreeMap<Group<'_>, f64>>::new();
    for (ending, count) in counts {
        let groups = seconds.entry(&ending.second).or_default();
        *groups.entry(group(ending)).or_default() += count.requests;
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
    for (second, groups) in seconds {
        let all: f64 = groups.values().sum();
        let most = groups
            .iter()
            .max_by(|(_, one), (_, other)| one.total_cmp(other));
        let Some((group, count)) = most else {
            continue;
        };
        builder.push_record([
            time_of_day(second),
            format!("{all:.0}"),
            group.kind.to_owned(),
            group.service.to_owned(),
            group.reason.to_owned(),
            format!("{count:.0}"),
        ]);
    }
    builder.build().with(Style::psql()).to_string()
}

/// Returns the time of day of a timestamp, without its date.
fn time_of_day(second: &str) -> String {
    let time = second.split_once('T').map(|(_, time)| time);
    time.unwrap_or(second).to_owned()
}

/// Returns a table of the workspaces, the one with the most requests first; `None` if no request
/// belongs to a workspace.
pub(super) fn by_workspace(counts: &BTreeMap<Ending, Count>) -> Option<String> {
    let mut sums = BTreeMap::<&str, BTreeMap<&str, f64>>::new();
    for (ending, count) in counts.iter().filter(|(one, _)| !one.workspace.is_empty()) {
        let reasons = sums.entry(&ending.workspace).or_default();
        *reasons.entry(ending.reason).or_default() += count.requests;
    }
    let total = |reasons: &BTreeMap<&str, f64>| reasons.values().sum::<f64>();
    let mut rows: Vec<_> = sums.into_iter().collect();
    rows.sort_by(|(_, one), (_, other)| total(other).total_cmp(&total(one)));
    let mut builder = Builder::default();
    builder.push_record(["workspace", "requests", "most of them", "these"]);
    for (workspace, reasons) in &rows {
        let most = reasons
            .iter()
            .max_by(|(_, one), (_, other)| one.total_cmp(other));
        let (reason, count) = most.map_or(("", 0.0), |(reason, count)| (*reason, *count));
        builder.push_record([
            (*workspace).to_owned(),
            format!("{:.0}", total(reasons)),
            reason.to_owned(),
            format!("{count:.0}"),
        ]);
    }
    let table = builder.build().with(Style::psql()).to_string();
    (!rows.is_empty()).then_some(table)
}
