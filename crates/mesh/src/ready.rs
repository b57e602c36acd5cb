//! The port for readiness probes.

use std::cell::Cell;
use std::rc::Rc;

use http::StatusCode;
use sailtrack_kernel::Phase;
use sailtrack_net::http::{Handler, Request, Response};

use crate::configuration::Current;
use crate::dialect::Dialect;

/// Answers readiness probes.
pub(crate) struct Endpoint {
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) phase: Rc<Cell<Phase>>,
    pub(crate) current: Rc<Current>,
}

impl Handler for Endpoint {
    async fn handle(&self, request: Request) -> Response {
        if !self.dialect.is_readiness_probe(&request) {
            return Response::text(StatusCode::NOT_FOUND, "nothing here\n");
        }
        let is_ready = self.phase.get() == Phase::Serving && self.current.get().is_some();
        if is_ready {
            Response::text(StatusCode::OK, "ready\n")
        } else {
            Response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }
}
