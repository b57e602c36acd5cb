//! Collects the call counts of several nodes.

use std::collections::BTreeMap;

use sailtrack_units::Timestamp;
use serde::Deserialize;

use crate::error::Error;
use crate::node::Node;
use crate::options::Report;
use crate::report::step::Step;

/// The counts of one kind of request, from one or several nodes.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct KindCounts {
    pub(crate) kind: String,
    pub(crate) service: String,
    pub(crate) objective: f64,
    pub(crate) steps: Vec<Step>,
}

/// The start and end of a declared event.
#[derive(Debug, Clone, Deserialize)]
struct EventWindow {
    event: String,
    start: Timestamp,
    end: Timestamp,
}

/// The response of one node.
#[derive(Debug, Clone, Deserialize)]
struct NodeCounts {
    step_ms: u64,
    unknown_open: u64,
    kinds: Vec<KindCounts>,
    events: Vec<EventWindow>,
}

/// The combined counts of all nodes.
#[derive(Debug, Default)]
pub(crate) struct ClusterCounts {
    pub(crate) step_ms: u64,
    pub(crate) unknown_open: u64,
    pub(crate) kinds: BTreeMap<String, KindCounts>,
    pub(crate) nodes: usize,
    /// Error messages of the nodes that did not answer.
    pub(crate) missing: Vec<String>,
}

/// Fetches the counts of every node and combines them; a node that does not answer is recorded as
/// missing.
pub(crate) async fn gather(report: &Report) -> Result<ClusterCounts, Error> {
    let mut total = ClusterCounts::default();
    for address in &report.nodes {
        let value = match Node::new(*address).get("/burn").await {
            Ok(value) => value,
            Err(error) => {
                total.missing.push(error.to_string());
                continue;
            }
        };
        let counts: NodeCounts =
            serde_json::from_value(value).map_err(|error| Error::Answer(error.to_string()))?;
        let window = window(&counts, report.event.as_deref())?;
        add(&mut total, counts, window);
    }
    Ok(total)
}

/// Returns the start and end of the named event, or all of time without a name.
fn window(counts: &NodeCounts, event: Option<&str>) -> Result<(Timestamp, Timestamp), Error> {
    let Some(name) = event else {
        return Ok((Timestamp(0), Timestamp(u64::MAX)));
    };
    let mut events = counts.events.iter();
    let found = events.find(|window| window.event == name);
    let found = found.ok_or_else(|| Error::Refused(format!("there is no event called {name}")))?;
    Ok((found.start, found.end))
}

fn add(total: &mut ClusterCounts, counts: NodeCounts, (start, end): (Timestamp, Timestamp)) {
    total.nodes += 1;
    total.step_ms = counts.step_ms;
    total.unknown_open += counts.unknown_open;
    for mut kind in counts.kinds {
        kind.steps.retain(|step| (start..end).contains(&step.at));
        match total.kinds.get_mut(&kind.kind) {
            Some(known) => known.steps.extend(kind.steps),
            None => {
                total.kinds.insert(kind.kind.clone(), kind);
            }
        }
    }
}
