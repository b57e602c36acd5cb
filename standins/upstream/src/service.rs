//! Answers requests as the service would.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::join_all;
use http::{Method, StatusCode};
use monoio::time::sleep;
use rand::Rng as _;
use sailtrack_net::http::{Handler, Pool, Request, Response};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::{Control, Order};
use crate::record::Record;
use crate::route::{Route, Subcall, WorkTime};
use crate::settings::Settings;
use crate::slots::Slots;

/// The header that the service copies into the calls that it makes and into its answer.
const CONTEXT: &str = "sailtrack-context";
/// The service that is called.
const SERVICE: &str = "sailtrack-service";
/// The id of the root request.
const REQUEST: &str = "sailtrack-request";
/// The time left for a request, in milliseconds.
const TIMEOUT: &str = "sailtrack-timeout-ms";
/// What is known about the execution.
const OUTCOME: &str = "sailtrack-outcome";
/// How many calls per second it takes.
const RATE_LIMIT: &str = "sailtrack-rate-limit";
/// Says that it leaves.
const LEAVING: &str = "sailtrack-leaving";
/// How long a request without a time left may take.
const DEFAULT_TIME: Duration = Duration::from_secs(10);
/// The most unused connections kept to the node.
const POOL_CAPACITY: usize = 1024;

/// Answers requests as the service would.
pub(crate) struct Service {
    pub(crate) settings: Settings,
    pub(crate) slots: Rc<Slots>,
    pub(crate) control: Control,
    pub(crate) node: Pool,
    /// Tells this life of the stand-in from others.
    pub(crate) life: u64,
    record: Record,
    /// How many calls got the answer to another one.
    mixups: Cell<u64>,
}

/// One request while it is being run.
struct Work<'a> {
    request: &'a Request,
    route: &'a Route,
    id: String,
    key: String,
    deadline: Instant,
}

impl Service {
    pub(crate) fn new(settings: Settings) -> std::io::Result<Self> {
        Ok(Self {
            slots: Slots::new(settings.slots, settings.queue),
            control: Control::new(),
            node: Pool::new(settings.node, Some(settings.address.ip()), POOL_CAPACITY),
            life: rand::rng().random(),
            record: Record::open(settings.record.as_deref())?,
            mixups: Cell::new(0),
            settings,
        })
    }

    async fn run(&self, request: &Request) -> Response {
        let method = request.method.as_str();
        let mut routes = self.settings.routes.iter();
        let Some(route) = routes.find(|route| route.matches(method, &request.path)) else {
            return Response::text(StatusCode::NOT_FOUND, "no such route\n");
        };
        if rand::rng().random_bool(self.control.silent()) {
            return never().await;
        }
        let Some(slot) = self.slots.take().await else {
            if self.control.is_silent_when_full() {
                return never().await;
            }
            return Response::text(StatusCode::SERVICE_UNAVAILABLE, "shed\n")
                .with(OUTCOME, "not-run");
        };
        let work = Work {
            request,
            route,
            id: request.header(REQUEST).unwrap_or("none").to_owned(),
            key: format!("{:016x}", xxh3_64(&request.body)),
            deadline: Instant::now() + time_left(request),
        };
        self.record.start(&work.id, &request.path, &work.key);
        let done = self.work(&work).await;
        self.record.finish(&work.id, &request.path, &work.key);
        drop(slot);
        let failed = rand::rng().random_bool(self.fail_share(route));
        if done && !failed {
            return Response::text(StatusCode::OK, answer(&work));
        }
        Response::text(StatusCode::BAD_GATEWAY, "failed\n")
    }

    fn fail_share(&self, route: &Route) -> f64 {
        self.control.fail().max(route.fail.0).clamp(0.0, 1.0)
    }

    /// Does the work and makes its calls; returns false if one of them failed.
    async fn work(&self, work: &Work<'_>) -> bool {
        let time = self.work_time(work.route);
        if !time.is_zero() {
            sleep(time).await;
        }
        let calls = work.route.calls.iter().enumerate();
        if work.route.parallel {
            let calls = calls.map(|(at, call)| self.call(work, at, call));
            return join_all(calls).await.into_iter().all(|done| done);
        }
        for (at, call) in calls {
            if !self.call(work, at, call).await {
                return false;
            }
        }
        true
    }

    fn work_time(&self, route: &Route) -> Duration {
        let mean = route.time.0.as_secs_f64();
        let mean = mean * self.control.factor(self.settings.cold_time.0.as_secs_f64());
        let seconds = match route.spread {
            WorkTime::Fixed => mean,
            WorkTime::Exponential => {
                let uniform: f64 = rand::rng().random_range(f64::EPSILON..1.0);
                -mean * uniform.ln()
            }
        };
        Duration::from_secs_f64(seconds)
    }

    /// Makes one call, as often as the service repeats calls that fail.
    async fn call(&self, work: &Work<'_>, at: usize, call: &Subcall) -> bool {
        for _ in 0..=work.route.retries {
            let request = subrequest(work, at, call);
            let checksum = checksum(&request.body);
            let Ok(response) = self.node.exchange(request, work.deadline).await else {
                if Instant::now() >= work.deadline {
                    return false;
                }
                continue;
            };
            if response.status.is_success() {
                if !response.body.starts_with(checksum.as_bytes()) {
                    self.mixups.set(self.mixups.get() + 1);
                }
                return true;
            }
        }
        false
    }

    /// Adds what the stand-in demands of its callers.
    fn with_demands(&self, response: Response) -> Response {
        let response = match self.control.rate_limit() {
            Some(rate) => response.with(RATE_LIMIT, &rate.to_string()),
            None => response,
        };
        if self.control.leaves_in_answers() {
            response.with(LEAVING, "1")
        } else {
            response
        }
    }

    fn counts(&self) -> Response {
        let (started, finished) = self.record.counts();
        let body = json!({
            "started": started,
            "finished": finished,
            "mixups": self.mixups.get(),
        });
        Response::json(StatusCode::OK, body.to_string())
    }

    fn obey(&self, request: &Request) -> Response {
        match serde_json::from_slice::<Order>(&request.body) {
            Ok(order) => {
                self.control.obey(order);
                Response::new(StatusCode::NO_CONTENT, "")
            }
            Err(error) => Response::text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

impl Handler for Service {
    async fn handle(&self, request: Request) -> Response {
        match request.path.as_str() {
            "/.control" => self.obey(&request),
            "/.counts" => self.counts(),
            _ => {
                let response = self.run(&request).await;
                let response = self.with_demands(response);
                match request.header(CONTEXT) {
                    Some(context) => response.with(CONTEXT, context),
                    None => response,
                }
            }
        }
    }
}

/// Never answers; the connection takes nothing more meanwhile.
async fn never() -> Response {
    std::future::pending().await
}

fn time_left(request: &Request) -> Duration {
    let millis = request.header(TIMEOUT).and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_TIME, Duration::from_millis)
}

/// Returns the request for a call; its body is unique to the work and the call.
fn subrequest(work: &Work<'_>, at: usize, call: &Subcall) -> Request {
    let method = Method::from_bytes(call.method.as_bytes()).unwrap_or(Method::GET);
    let body = format!("{}/{at}", work.key);
    let left = work.deadline.saturating_duration_since(Instant::now());
    let mut request = Request::new(method, call.path.clone(), body)
        .with(SERVICE, &call.service)
        .with(TIMEOUT, &left.as_millis().to_string());
    if let Some(context) = work.request.header(CONTEXT) {
        request = request.with(CONTEXT, context);
    }
    request
}

/// Returns what an answer to a request with this body starts with.
fn checksum(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}

fn answer(work: &Work<'_>) -> Bytes {
    let mut body = checksum(&work.request.body).into_bytes();
    body.resize(body.len().max(work.route.answer.as_usize()), b'.');
    Bytes::from(body)
}
