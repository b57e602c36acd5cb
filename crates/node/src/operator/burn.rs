//! Reports the outcomes of calls over time.

use http::StatusCode;
use sailtrack_net::http::Response;
use sailtrack_units::Period;
use serde_json::{Value, json};

use crate::burn::STEP;
use crate::operator::{Operator, json};

impl Operator {
    /// Returns the outcome counts of each declared kind over time, and the windows of the declared
    /// events.
    pub(crate) fn burn(&self) -> Response {
        let current = self.configuration.current();
        let steps = self.burn.steps();
        let kinds = current.declaration.kinds.iter();
        let kinds: Vec<Value> = kinds
            .filter_map(|kind| {
                let steps = steps.get(&kind.name)?;
                Some(json!({
                    "kind": kind.name,
                    "service": kind.service,
                    "objective": kind.objective,
                    "steps": steps,
                }))
            })
            .collect();
        let events = current.declaration.events.iter();
        let events: Vec<Value> = events
            .map(|event| json!({"event": event.name, "start": event.start, "end": event.end()}))
            .collect();
        let body = json!({
            "step_ms": Period(STEP).as_millis(),
            "unknown_open": self.unknowns.open().len(),
            "kinds": kinds,
            "events": events,
        });
        json(StatusCode::OK, &body)
    }
}
