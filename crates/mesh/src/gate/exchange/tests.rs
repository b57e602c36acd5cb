//! Requests that must not reach the upstream.

use std::io::Read as _;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::timeout;
use sailtrack_net::runtime;

use super::Exchange;
use crate::clock;
use crate::contexts::tests::request;
use crate::dialect::FieldNames;
use crate::events::Events;
use crate::gate::crash::Detector;
use crate::gate::pool::Pool;
use crate::key::UpstreamKey;
use crate::memory::{Bound, Budget, Buffer};
use crate::metrics::Metrics;
use crate::request::Request;

const FIELDS: FieldNames = FieldNames {
    attempt: "attempt",
    time_left_ms: "time-left",
    expected_upstream: "expected",
    caller: "caller",
    credential: "credential",
    workspace: "workspace",
    not_run: "not-run",
    signature: "signature",
    load: "load",
    rate_limit: "rate-limit",
    leaving: "leaving",
    upstream: "upstream",
};

/// A node that is suspended while it connects must not send the request afterwards: the caller has
/// been told that its time is over, so the upstream would work for nobody.
#[test]
fn nothing_sent_too_late() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a local address");
    let pool = Pool::new(address);
    let expired = Request {
        deadline: clock::now().before(Duration::from_millis(1)),
        ..request("a")
    };
    let upstream = UpstreamKey::new("i-1", None).expect("a sound id");
    let exchange = Exchange {
        pool: &pool,
        detector: &Rc::new(Detector::new(address)),
        answers: &Budget::new(0, &Bound::new(0)),
        fields: &FIELDS,
        events: &Events::default(),
        metrics: &Metrics::new(),
        upstream: &upstream,
        request: &expired,
    };
    let result = runtime::run(async {
        timeout(
            Duration::from_secs(1),
            exchange.run(Buffer::default(), |_| {}),
        )
        .await
    });
    let result = result
        .expect("a runtime")
        .expect("it must not wait for a response");
    let error = result.err().expect("there is no response");
    assert!(error.is_unsent(), "{error}");
    let (mut stream, _) = listener.accept().expect("a connection");
    let mut bytes = Vec::new();
    stream
        .read_to_end(&mut bytes)
        .expect("the connection is closed");
    assert!(bytes.is_empty(), "{}", String::from_utf8_lossy(&bytes));
}
