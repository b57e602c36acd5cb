//! The graph that the load tests play.

use std::time::Duration;

use sailtrack_model::{Call, Graph, Kind, Service, Upstream};
use sailtrack_units::Importance;

/// Each load is played with all of these.
pub const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

/// The places of the kinds.
pub const LOOKUP: usize = 0;
pub const BOOKING: usize = 1;
pub const STATUS: usize = 2;
const READ: usize = 3;

/// Three services in three failure domains, an upstream in each. Lookups of the first and bookings
/// of the second one read from the third, four and eight times; clients also ask the third one
/// itself, for something that takes it as long as sixteen reads. It is loaded to 0.58.
pub fn bank() -> Graph {
    Graph {
        services: vec![service(150), service(150), service(36)],
        kinds: vec![
            kind(0, Importance::Normal, 250.0, 120, 4),
            kind(1, Importance::Critical, 60.0, 160, 8),
            kind(2, Importance::Normal, 38.0, 480, 0),
            kind(2, Importance::Normal, 0.0, 30, 0),
        ],
        domains: 3,
        troubles: Vec::new(),
    }
}

fn service(slots: u32) -> Service {
    let upstreams = (0..3).map(|domain| Upstream {
        domain,
        slots,
        speed: 1.0,
    });
    Service {
        upstreams: upstreams.collect(),
    }
}

fn kind(service: usize, importance: Importance, rate: f64, millis: u64, reads: u32) -> Kind {
    let calls = Call {
        kind: READ,
        times: reads,
    };
    Kind {
        service,
        importance,
        rate,
        work: Duration::from_millis(millis),
        objective: Duration::from_millis(1500),
        timeout: Duration::from_secs(2),
        patience: Duration::from_secs(5),
        idempotent: importance != Importance::Critical,
        calls: if reads > 0 { vec![calls] } else { Vec::new() },
    }
}
