//! Which service a node runs and which service handles a kind of request, as found in logs.

use std::collections::HashMap;

use crate::explain::cause::Cause;
use crate::explain::line::{Line, UPSTREAM_ANNOUNCED};

/// Stands for a service that the logs do not name.
const UNKNOWN_SERVICE: &str = "-";

/// Which service a node runs and which service handles a kind of request.
#[derive(Debug, Default)]
pub(super) struct Topology {
    /// The service of each node, by the name of the node.
    service_by_node: HashMap<String, String>,
    /// The node to which the last request of each kind was sent.
    node_by_kind: HashMap<String, String>,
}

impl Topology {
    /// Records the nodes and services that a line names.
    pub(super) fn record(&mut self, line: &Line) {
        if line.event == UPSTREAM_ANNOUNCED {
            let service = line.field("service").to_owned();
            self.service_by_node.insert(line.node.clone(), service);
        }
        let (kind, node) = (line.field("kind"), line.field("node"));
        if !kind.is_empty() && !node.is_empty() && node != "none" {
            self.node_by_kind.insert(kind.to_owned(), node.to_owned());
        }
    }

    /// Returns the service at which a request of this kind ended for this cause.
    pub(super) fn service(&self, cause: &Cause, kind: &str) -> &str {
        let node = cause.node().or_else(|| self.node_by_kind.get(kind));
        let service = node.and_then(|node| self.service_by_node.get(node));
        service.map_or(UNKNOWN_SERVICE, String::as_str)
    }
}
