//! What reaches the upstream, and what does not.

use std::io::Read as _;
use std::net::TcpListener;
use std::time::Duration;

use monoio::time::timeout;
use sailtrack_net::runtime;

use super::exchange;
use crate::clock;
use crate::contexts::tests::work;
use crate::dialect::FieldNames;
use crate::gate::pool::Pool;
use crate::key::UpstreamKey;
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
    upstream: "upstream",
};

/// A node that stood still between the start of its connection and the end sends nothing: the
/// upstream would run it for nobody, after its caller was told that its time is over.
#[test]
fn nothing_sent_too_late() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let pool = Pool::new(listener.local_addr().expect("it is bound"));
    let late = Request {
        deadline: clock::now().before(Duration::from_millis(1)),
        ..work("a")
    };
    let upstream = UpstreamKey::new("i-1", None).expect("a sound id");
    let result = runtime::run(async {
        let exchange = exchange(&pool, &FIELDS, &upstream, &late);
        timeout(Duration::from_secs(1), exchange).await
    });
    let result = result.expect("a runtime").expect("no answer is awaited");
    let error = result.err().expect("nothing answers");
    assert!(error.is_unsent(), "{error}");
    let (mut stream, _) = listener.accept().expect("it was connected");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).expect("it ends");
    assert!(bytes.is_empty(), "{}", String::from_utf8_lossy(&bytes));
}
