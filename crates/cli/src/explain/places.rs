//! Which service stands at a node, and which one serves a kind, as the logs tell it.

use std::collections::HashMap;

use crate::explain::cause::Cause;
use crate::explain::line::{ANNOUNCED, Line};

/// What is written where the logs do not tell a place.
const NOWHERE: &str = "-";

/// Which service stands at a node, and which one serves a kind.
#[derive(Debug, Default)]
pub(super) struct Places {
    service_at: HashMap<String, String>,
    /// The node that a request of the kind was last brought to.
    node_for: HashMap<String, String>,
}

impl Places {
    /// Takes in what a line tells.
    pub(super) fn note(&mut self, line: &Line) {
        if line.event == ANNOUNCED {
            let service = line.field("service").to_owned();
            self.service_at.insert(line.node.clone(), service);
        }
        let (kind, node) = (line.field("kind"), line.field("node"));
        if !kind.is_empty() && !node.is_empty() && node != "none" {
            self.node_for.insert(kind.to_owned(), node.to_owned());
        }
    }

    /// Returns the service at which a request of this kind ended for this cause.
    pub(super) fn service(&self, cause: &Cause, kind: &str) -> &str {
        let node = cause.node().or_else(|| self.node_for.get(kind));
        let service = node.and_then(|node| self.service_at.get(node));
        service.map_or(NOWHERE, String::as_str)
    }
}
