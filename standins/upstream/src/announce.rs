//! Announces the stand-in to its node.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Method;
use monoio::time::sleep;
use sailtrack_net::http::Request;
use serde_json::json;

use crate::service::Service;

/// How long one announcement may take.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);
/// The pause after an announcement that did not arrive.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Announces the stand-in for as long as the task lives.
pub(crate) async fn keep_announcing(service: Rc<Service>) {
    loop {
        let arrived = announce(&service).await;
        let pause = if arrived {
            service.settings.announce_every.0
        } else {
            RETRY_PAUSE
        };
        sleep(pause).await;
    }
}

/// Announces the stand-in once; returns false if that did not arrive.
pub(crate) async fn announce(service: &Service) -> bool {
    let settings = &service.settings;
    let state = if service.control.is_leaving() {
        "leaving"
    } else {
        "ready"
    };
    let load = f64::from(u32::try_from(service.slots.in_use()).unwrap_or(u32::MAX))
        / f64::from(settings.slots);
    let body = json!({
        "address": settings.address,
        "state": state,
        "life": service.life,
        "slots": settings.claimed_slots.unwrap_or(settings.slots),
        "load": service.control.reported(load),
    });
    let request = Request::new(Method::POST, "/.sailtrack/announce", body.to_string());
    let deadline = Instant::now() + ANNOUNCE_TIME;
    service.node.exchange(request, deadline).await.is_ok()
}
