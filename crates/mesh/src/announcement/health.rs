//! Asks the upstream who it is and whether it accepts requests.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use displaydoc::Display;
use http::{Method, StatusCode};
use monoio::time::sleep;
use sailtrack_log::{catalogue, emit};
use sailtrack_net::http::{ExchangeError, Pool, Request, Response};

use super::acceptance::Origin;
use super::{Announcements, POLL_INTERVAL};
use crate::clock;
use crate::dialect::{Heartbeat, Load, Readiness};
use crate::gate::Demands;
use crate::key::UpstreamKey;

/// The maximum size of the body of a health check, which is not used.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Timeout for the health check that identifies the upstream at the start.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// What the upstream answered to a health check.
#[derive(Debug)]
pub(super) struct Health {
    status: StatusCode,
    /// The incarnation, without its start time, which only heartbeats contain.
    upstream: Option<UpstreamKey>,
    load: Option<Load>,
    demands: Demands,
}

impl Health {
    /// Returns the incarnation that answered, if it says that it accepts requests.
    pub(super) fn ready(&self) -> Option<&UpstreamKey> {
        let is_ready = self.status == StatusCode::OK && !self.demands.is_leaving;
        self.upstream.as_ref().filter(|_| is_ready)
    }

    /// Returns true if this incarnation answered that it is leaving, whatever its heartbeats say.
    pub(super) fn is_leaving(&self, upstream: &UpstreamKey) -> bool {
        let named = self.upstream.as_ref();
        self.demands.is_leaving && named.is_some_and(|named| named.is_same_incarnation(upstream))
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.status.as_u16())?;
        if let Some(upstream) = &self.upstream {
            write!(f, " from {upstream}")?;
        }
        if self.demands.is_leaving {
            f.write_str(", leaving")?;
        }
        Ok(())
    }
}

/// Why the upstream could not be asked.
#[derive(Debug, Display)]
pub(super) enum HealthError {
    /// no configuration is in force
    NoConfiguration,
    /// {0}
    Unanswered(ExchangeError),
}

impl std::error::Error for HealthError {}

impl Announcements {
    /// Asks the upstream for its identity, so that a restarted node need not wait for a heartbeat.
    ///
    /// An upstream announces itself every 1.5 s, and would not get any requests until then.
    pub(crate) async fn find_upstream(self: Rc<Self>) {
        while self.current.get().is_none() {
            sleep(POLL_INTERVAL).await;
        }
        if !self.upstream.is_unknown() {
            return;
        }
        match self.check_health(PROBE_TIMEOUT).await {
            Ok(health) => self.handle_health(&health),
            Err(error) => emit(
                &catalogue::UPSTREAM_SILENT,
                &[("address", &self.address), ("reason", &error)],
            ),
        }
    }

    /// Sends a health check to the upstream.
    pub(super) async fn check_health(&self, timeout: Duration) -> Result<Health, HealthError> {
        let configuration = self.current.get();
        let rules = configuration
            .as_ref()
            .and_then(|known| known.service(&self.service));
        let rules = rules.ok_or(HealthError::NoConfiguration)?;
        let pool = Pool::new(self.address, None, 1).limit_body(MAX_BODY_BYTES);
        let request = Request::new(Method::GET, rules.health_path.clone(), "");
        let response = pool.exchange(request, Instant::now() + timeout).await;
        let response = response.map_err(HealthError::Unanswered)?;
        Ok(self.read_health(&response))
    }

    fn read_health(&self, response: &Response) -> Health {
        let fields = self.dialect.fields();
        let load = response.header(fields.load);
        let upstream = response.header(fields.upstream);
        let values = |name| response.header(name).map(str::as_bytes).into_iter();
        Health {
            status: response.status,
            upstream: upstream.and_then(|id| UpstreamKey::new(id, None).ok()),
            load: load.and_then(|value| self.dialect.load(value)),
            demands: Demands::read(
                &*self.dialect,
                values(fields.rate_limit),
                values(fields.leaving),
            ),
        }
    }

    fn handle_health(self: &Rc<Self>, health: &Health) {
        if let Some(upstream) = &health.upstream {
            self.upstream
                .record_initial_limit(upstream.id(), &health.demands);
            self.record_name(upstream);
        }
        // Otherwise the upstream is draining or the answer is incomplete: wait for its heartbeats.
        let Some(heartbeat) = self.heartbeat_of(health) else {
            return;
        };
        if let Some(load) = health.load {
            self.upstream.record_initial_load(load, clock::now());
        }
        if self.upstream.is_new_incarnation(&heartbeat, Instant::now()) {
            self.consider(heartbeat, Origin::HealthCheck);
        }
    }

    /// Returns what a heartbeat of the upstream would say, if the answer is complete.
    pub(super) fn heartbeat_of(&self, health: &Health) -> Option<Heartbeat> {
        Some(Heartbeat {
            upstream: health.ready()?.clone(),
            service: self.service.clone(),
            address: self.address,
            readiness: Readiness::Ready,
            sequence: 0,
            slots: health.load?.slots,
            warm_up: Duration::ZERO,
        })
    }
}
