//! The port for operators and for scraping metrics.

use std::rc::Rc;

use http::{Method, StatusCode};
use sailtrack_net::http::{Handler, Request, Response};

use crate::operator::Operator;

/// Handles the requests of operators.
pub(crate) struct OperatorPort {
    pub(crate) operator: Rc<Operator>,
}

impl Handler for OperatorPort {
    async fn handle(&self, request: Request) -> Response {
        let path = request.path.split('?').next().unwrap_or_default();
        match (&request.method, path) {
            (&Method::GET, "/metrics") => {
                let text = self.operator.scrape();
                Response::text(StatusCode::OK, text)
            }
            (&Method::GET, "/health") => Response::text(StatusCode::OK, self.operator.health()),
            (&Method::GET, "/burn") => self.operator.burn(),
            (&Method::POST, "/command") => self.operator.command(&request).await,
            (&Method::POST, "/apply") => self.operator.apply(&request).await,
            _ => Response::text(
                StatusCode::NOT_FOUND,
                "allowed: GET /metrics, GET /health, GET /burn, POST /command, POST /apply\n",
            ),
        }
    }
}
