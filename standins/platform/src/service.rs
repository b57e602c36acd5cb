//! Answers the operations on the table.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, StatusCode};
use monoio::time::sleep;
use sailtrack_net::http::{Handler, Request, Response};
use sailtrack_net::task;
use serde_json::json;

use crate::fault::Fault;
use crate::rate::RateLimit;
use crate::settings::Settings;
use crate::table::{Row, Table};

/// Carries the version that a row must have for a write to take effect.
const IF_VERSION: &str = "if-version";

/// Answers the operations on the table.
pub(crate) struct Service {
    table: Rc<RefCell<Table>>,
    reads: RefCell<RateLimit>,
    writes: RefCell<RateLimit>,
    fault: Cell<Fault>,
    read_count: Cell<u64>,
    write_count: Cell<u64>,
}

impl Service {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            table: Rc::default(),
            reads: RefCell::new(RateLimit::new(settings.reads)),
            writes: RefCell::new(RateLimit::new(settings.writes)),
            fault: Cell::default(),
            read_count: Cell::new(0),
            write_count: Cell::new(0),
        }
    }

    fn set_fault(&self, request: &Request) -> Response {
        match serde_json::from_slice(&request.body) {
            Ok(fault) => {
                self.fault.set(fault);
                Response::new(StatusCode::NO_CONTENT, "")
            }
            Err(error) => Response::text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn counts(&self) -> Response {
        let body = json!({"reads": self.read_count.get(), "writes": self.write_count.get()});
        Response::json(StatusCode::OK, body.to_string())
    }

    async fn operate(&self, request: Request) -> Response {
        match self.fault.get() {
            Fault::Down => pending().await,
            Fault::Refuse => return Response::new(StatusCode::SERVICE_UNAVAILABLE, ""),
            Fault::Slow { ms } => {
                let answer = self.take_effect(request).await;
                sleep(Duration::from_millis(ms)).await;
                return answer;
            }
            Fault::None | Fault::LoseAnswers { .. } | Fault::LateWrites { .. } => {}
        }
        self.take_effect(request).await
    }

    async fn take_effect(&self, request: Request) -> Response {
        if request.method == Method::GET {
            return self.read(&request);
        }
        self.write_count.set(self.write_count.get() + 1);
        if !self.writes.borrow_mut().take() {
            return Response::new(StatusCode::TOO_MANY_REQUESTS, "");
        }
        self.write(request).await
    }

    fn read(&self, request: &Request) -> Response {
        self.read_count.set(self.read_count.get() + 1);
        if !self.reads.borrow_mut().take() {
            return Response::new(StatusCode::TOO_MANY_REQUESTS, "");
        }
        let table = self.table.borrow();
        if let Some(rest) = request.path.strip_prefix("/scan/") {
            let scan = Scan::parse(rest);
            let rows = table.scan(scan.prefix, scan.from, scan.limit);
            self.charge_rows(rows.len());
            return Response::json(StatusCode::OK, json!({"rows": rows}).to_string());
        }
        let Some(rest) = request.path.strip_prefix("/rows/") else {
            return Response::new(StatusCode::NOT_FOUND, "");
        };
        let (key, newer) = rest.split_once("?newer=").unwrap_or((rest, "0"));
        let newer: u64 = newer.parse().unwrap_or(0);
        match table.get(key) {
            None => Response::new(StatusCode::NOT_FOUND, ""),
            Some(row) if row.version <= newer => Response::new(StatusCode::NO_CONTENT, ""),
            Some(row) => encoded(StatusCode::OK, row),
        }
    }

    /// Counts every row of a scan but the first as one more read.
    fn charge_rows(&self, rows: usize) {
        let more = rows.saturating_sub(1);
        self.reads.borrow_mut().charge(more);
        let count = self.read_count.get() + u64::try_from(more).unwrap_or(0);
        self.read_count.set(count);
    }

    async fn write(&self, request: Request) -> Response {
        match self.fault.get() {
            Fault::LoseAnswers { count } => {
                self.fault.set(match count {
                    0 | 1 => Fault::None,
                    _ => Fault::LoseAnswers { count: count - 1 },
                });
                apply(&self.table, &request);
                pending().await
            }
            Fault::LateWrites { count, ms } => {
                self.fault.set(match count {
                    0 | 1 => Fault::None,
                    _ => Fault::LateWrites {
                        count: count - 1,
                        ms,
                    },
                });
                let table = Rc::clone(&self.table);
                task::spawn("late write", async move {
                    sleep(Duration::from_millis(ms)).await;
                    apply(&table, &request);
                });
                pending().await
            }
            _ => apply(&self.table, &request),
        }
    }
}

/// What a scan asks for, as in `PREFIX?from=KEY&limit=NUMBER`.
struct Scan<'a> {
    prefix: &'a str,
    from: &'a str,
    limit: usize,
}

impl<'a> Scan<'a> {
    fn parse(text: &'a str) -> Self {
        let (prefix, query) = text.split_once('?').unwrap_or((text, ""));
        let mut scan = Self {
            prefix,
            from: prefix,
            limit: usize::MAX,
        };
        for pair in query.split('&') {
            match pair.split_once('=') {
                Some(("from", key)) => scan.from = key,
                Some(("limit", number)) => scan.limit = number.parse().unwrap_or(usize::MAX),
                _ => {}
            }
        }
        scan
    }
}

impl Handler for Service {
    async fn handle(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/faults" => self.set_fault(&request),
            "/counts" => self.counts(),
            _ => self.operate(request).await,
        }
    }
}

fn apply(table: &RefCell<Table>, request: &Request) -> Response {
    let Some(key) = request.path.strip_prefix("/rows/") else {
        return Response::new(StatusCode::NOT_FOUND, "");
    };
    let mut table = table.borrow_mut();
    match request.method {
        Method::DELETE if table.remove(key) => Response::new(StatusCode::NO_CONTENT, ""),
        Method::DELETE => Response::new(StatusCode::NOT_FOUND, ""),
        Method::PUT => {
            let expected = request
                .header(IF_VERSION)
                .and_then(|text| text.parse().ok());
            let value = String::from_utf8_lossy(&request.body).into_owned();
            match table.put(key, expected, value) {
                Ok(row) => encoded(StatusCode::OK, &row),
                Err(row) => encoded(StatusCode::CONFLICT, &row),
            }
        }
        _ => Response::new(StatusCode::METHOD_NOT_ALLOWED, ""),
    }
}

fn encoded(status: StatusCode, row: &Row) -> Response {
    match serde_json::to_string(row) {
        Ok(body) => Response::json(status, body),
        Err(_) => Response::new(StatusCode::INTERNAL_SERVER_ERROR, ""),
    }
}
