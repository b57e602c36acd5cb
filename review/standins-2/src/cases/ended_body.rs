//! An upstream is killed while it sends answers without a length.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::cases::Verdict;
use crate::deployment::{
    Deployment, Failure, Handler, Node, Upstream, Upstreams, configuration, request,
};
use crate::http::{Message, Reader, connect};
use crate::record::Record;

/// The pieces of an answer, the bytes in each, and the pause between two of them.
const PIECES: usize = 10;
const PIECE_BYTES: usize = 2000;
const PAUSE: Duration = Duration::from_millis(20);
const CLIENTS: usize = 28;
/// How long the clients send, and when one of seven upstreams is killed.
const LENGTH: Duration = Duration::from_secs(6);
const KILL_AFTER: Duration = Duration::from_secs(3);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    let configuration = configuration(&[("look", "safe", "lookups", 2.0)], &["lookups"]);
    let zones = [
        "muc-a", "muc-a", "muc-a", "muc-b", "muc-b", "nue-a", "nue-a",
    ];
    let members = zones.map(|zone| ("lookups", zone));
    let upstreams = Upstreams::Processes("ended_body");
    let mut deployment = Deployment::start(record, &members, &configuration, &upstreams)?;
    let entries: Vec<SocketAddr> = deployment.nodes.iter().map(|node| node.entry).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let record = record.clone();
            let entry = entries[client % entries.len()];
            std::thread::spawn(move || serve_client(client, entry, &record))
        })
        .collect();
    std::thread::sleep(KILL_AFTER);
    if trouble {
        // The one that has run most, so that answers are under way.
        let runs = |node: &&mut Node| node.upstream_record().map_or(0, |record| record.len());
        let node = deployment.nodes.iter_mut().max_by_key(runs);
        let node = node.ok_or("there is no node")?;
        record.line(&format!("the upstream {} is killed", node.upstream.id));
        node.kill_upstream()?;
    }
    let mut short = 0;
    for client in clients {
        short += client.join().map_err(|_| "a client failed")?;
    }
    record.line(&format!(
        "{short} answers with status 200 and the signature came as whole and were not the whole body"
    ));
    Ok(if short > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Answers without a length; the end of the connection ends the body.
pub fn handler() -> Arc<Handler> {
    Arc::new(
        |upstream: &Upstream, request: &Message, stream: &mut TcpStream| {
            let head = upstream.head(request, "Connection: close\r\n");
            if stream.write_all(head.as_bytes()).is_err() {
                return false;
            }
            for _ in 0..PIECES {
                std::thread::sleep(PAUSE);
                if stream.write_all(&[b'x'; PIECE_BYTES]).is_err() {
                    return false;
                }
            }
            false
        },
    )
}

/// Sends requests one after the other; returns how many answers were short without a sign of it.
fn serve_client(client: usize, entry: SocketAddr, record: &Record) -> usize {
    let began = Instant::now();
    let mut short = 0;
    for number in 0.. {
        if began.elapsed() >= LENGTH {
            break;
        }
        let id = format!("c{client}r{number}");
        let Ok(stream) = connect(entry, Duration::from_secs(5)) else {
            continue;
        };
        let mut connection = Reader::new(stream);
        let bytes = request("GET", "/look/1", &id, 5000);
        if connection.stream.write_all(bytes.as_bytes()).is_err() {
            continue;
        }
        let answer = connection.message(true);
        match answer {
            Ok(answer) => {
                let length = answer.body.len();
                let is_framed = answer.field("Content-Length").is_some()
                    || answer.field("Transfer-Encoding").is_some();
                record.line(&format!(
                    "{id} is answered {} with {length} bytes, signature {:?}, length {:?}",
                    answer.status(),
                    answer.field("X-Server-Signature"),
                    answer.field("Content-Length")
                ));
                let is_success = answer.status() == 200 && is_framed;
                short += usize::from(is_success && length != PIECES * PIECE_BYTES);
            }
            Err(fault) => record.line(&format!("{id} gets no whole answer: {fault:?}")),
        }
    }
    short
}
