//! A long answer stands still after its beginning, past the timeout of its route.

use std::collections::HashMap;
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::cases::Verdict;
use crate::deployment::{
    Deployment, Failure, Handler, Upstream, Upstreams, configuration, request,
};
use crate::http::{Fault, Message, Reader, connect};
use crate::record::Record;

/// The length of a pack, which is a download.
const PACK_BYTES: usize = 400 * 1024;
/// The timeout of the route.
const TIMEOUT_S: f64 = 1.0;
/// How long after it a final answer may come.
const SLACK_S: f64 = 0.5;
const CLIENTS: usize = 14;
const PACKS: usize = 20;
/// One of seven upstreams, the first that has sent this many packs, hangs in two of five answers for
/// some time.
const PACKS_BEFORE: u64 = 20;
const GREY_TIME: Duration = Duration::from_millis(6500);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    let handler = handler(trouble);
    let configuration = configuration(
        &[("pack", "download", "packs", TIMEOUT_S)],
        &["packs", "lookups"],
    );
    let mut members = [("packs", "salt-lake"); 8];
    members[7] = ("lookups", "salt-lake");
    let deployment = Deployment::start(
        record,
        &members,
        &configuration,
        &Upstreams::Threads(handler),
    )?;
    let entry = deployment.nodes[7].entry;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            std::thread::spawn(move || serve_client(client, entry, &record))
        })
        .collect();
    let mut times = Vec::new();
    for client in clients {
        times.extend(client.join().map_err(|_| "a client failed")??);
    }
    let long = times.iter().filter(|time| **time > TIMEOUT_S).count();
    let late = times.iter().filter(|time| **time > TIMEOUT_S + SLACK_S);
    let late = late.count();
    record.line(&format!(
        "{long} of {} requests lasted longer than {TIMEOUT_S} s, {late} of them had no final answer {SLACK_S} s later",
        times.len()
    ));
    Ok(if late >= 8 && late * 4 > long {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn handler(trouble: bool) -> Arc<Handler> {
    let counts: Mutex<HashMap<String, u64>> = Mutex::default();
    // The upstream that hangs, and since when.
    let grey: OnceLock<(String, Instant)> = OnceLock::new();
    Arc::new(
        move |upstream: &Upstream, request: &Message, stream: &mut TcpStream| {
            let head = upstream.head(request, &format!("Content-Length: {PACK_BYTES}\r\n"));
            let body = vec![b'p'; PACK_BYTES];
            let first = PACK_BYTES / 2;
            if stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(&body[..first]))
                .is_err()
            {
                return false;
            }
            let mut counts = counts.lock().expect("no thread panicked");
            let count = counts.entry(upstream.id.clone()).or_default();
            *count += 1;
            let count = *count;
            drop(counts);
            let is_grey = trouble && count > PACKS_BEFORE && {
                let (id, since) = grey.get_or_init(|| (upstream.id.clone(), Instant::now()));
                *id == upstream.id && since.elapsed() < GREY_TIME
            };
            if is_grey && count % 5 < 2 {
                let id = request.field("X-Attempt-Id").unwrap_or("-");
                upstream.record.line(&format!(
                    "upstream {} hangs in its answer to {id}",
                    upstream.id
                ));
                let mut byte = [0];
                let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
                let _ = std::io::Read::read(stream, &mut byte);
                upstream
                    .record
                    .line(&format!("the connection of {id} has ended at the upstream"));
                return false;
            }
            std::thread::sleep(Duration::from_millis(30));
            stream.write_all(&body[first..]).is_ok()
        },
    )
}

/// Returns the time until the final answer of each request, or until the client left.
fn serve_client(
    client: usize,
    entry: std::net::SocketAddr,
    record: &Record,
) -> Result<Vec<f64>, String> {
    let mut times = Vec::new();
    for round in 0..PACKS {
        let stream = connect(entry, Duration::from_secs(5)).map_err(|error| error.to_string())?;
        let mut connection = Reader::new(stream);
        let id = format!("c{client}r{round}");
        let began = Instant::now();
        let bytes = request("GET", "/pack/1", &id, 5000);
        let sent = connection.stream.write_all(bytes.as_bytes());
        sent.map_err(|error| error.to_string())?;
        let answer = connection.message(true);
        let time = began.elapsed().as_secs_f64();
        times.push(time);
        match answer {
            Ok(answer) => record.line(&format!(
                "{id} is answered {} with {} bytes after {time:.3} s",
                answer.status(),
                answer.body.len()
            )),
            Err(Fault::Late(got)) => record.line(&format!(
                "{id} has {got} bytes of its answer after {time:.3} s, and the client leaves"
            )),
            Err(fault) => {
                record.line(&format!("{id} ends after {time:.3} s: {fault:?}"));
            }
        }
    }
    Ok(times)
}
