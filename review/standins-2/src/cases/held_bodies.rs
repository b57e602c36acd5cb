//! A burst of long uploads in chunks, and the memory of the nodes.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, HOST, Handler, Upstream, Upstreams, configuration};
use crate::http::{Message, Reader, connect};
use crate::record::Record;

/// The memory of a machine, in KiB: 260 MB.
const MEMORY_KIB: u64 = 260 * 1000 * 1000 / 1024;
/// The length of an upload, sent in chunks of this length.
const UPLOAD_BYTES: usize = 8_500_000;
const CHUNK_BYTES: usize = 64 * 1024;
/// How long an upstream works on an upload.
const WORK: Duration = Duration::from_millis(1500);
/// The clients on each of the two entry machines, as a rule and in a burst: 1.7 times as many.
const USUAL_CLIENTS: usize = 10;
const BURST_CLIENTS: usize = 17;
/// The bursts, how long each lasts, and the time between two of them.
const BURSTS: usize = 3;
const BURST: Duration = Duration::from_secs(3);
const CALM: Duration = Duration::from_secs(7);
/// How long after its end the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    let configuration = configuration(&[("sheet", "upload", "intake", 3.0)], &["intake", "desk"]);
    let members = [
        ("intake", "muc-a"),
        ("intake", "muc-b"),
        ("desk", "muc-a"),
        ("desk", "muc-b"),
    ];
    let handler: Arc<Handler> = Arc::new(
        |upstream: &Upstream, request: &Message, stream: &mut TcpStream| {
            std::thread::sleep(WORK);
            upstream.answer(request, stream, b"taken")
        },
    );
    let upstreams = Upstreams::Threads(handler);
    let mut deployment = Deployment::start(record, &members, &configuration, &upstreams)?;
    let entries = [deployment.nodes[2].entry, deployment.nodes[3].entry];
    // Clients with a number from this on are idle.
    let active = Arc::new(AtomicUsize::new(USUAL_CLIENTS));
    for (place, entry) in entries.into_iter().enumerate() {
        for client in 0..BURST_CLIENTS {
            let (record, active) = (record.clone(), Arc::clone(&active));
            std::thread::spawn(move || serve_client(place, client, entry, &record, &active));
        }
    }
    let mut ends = vec![0; deployment.nodes.len()];
    let mut peaks = vec![0; deployment.nodes.len()];
    for burst in 0..BURSTS {
        watch(&mut deployment, CALM, &mut ends, &mut peaks)?;
        if trouble {
            record.line(&format!("burst {} begins", burst + 1));
            active.store(BURST_CLIENTS, Ordering::SeqCst);
        }
        watch(&mut deployment, BURST, &mut ends, &mut peaks)?;
        active.store(USUAL_CLIENTS, Ordering::SeqCst);
    }
    watch(&mut deployment, CALM, &mut ends, &mut peaks)?;
    for (node, (ends, peak)) in deployment.nodes.iter().zip(ends.iter().zip(&peaks)) {
        record.line(&format!(
            "{}: {} KiB at most, {ends} times over {MEMORY_KIB} KiB and ended",
            node.name, peak
        ));
    }
    let often = ends.iter().filter(|ends| **ends >= 3).count();
    record.line(&format!(
        "{often} of {} machines have a process that ended three times or more; two are too many",
        ends.len()
    ));
    Ok(if often >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Ends each process that exceeds the memory of its machine, and starts it again, for some time.
fn watch(
    deployment: &mut Deployment,
    time: Duration,
    ends: &mut [u32],
    peaks: &mut [u64],
) -> Result<(), Failure> {
    let until = Instant::now() + time;
    let mut restarts: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < until || !restarts.is_empty() {
        for number in 0..deployment.nodes.len() {
            let Some(resident) = deployment.nodes[number].resident_kib() else {
                continue;
            };
            peaks[number] = peaks[number].max(resident);
            if resident > MEMORY_KIB {
                deployment.record.line(&format!(
                    "{} holds {resident} KiB and is killed",
                    deployment.nodes[number].name
                ));
                deployment.nodes[number].kill()?;
                ends[number] += 1;
                restarts.push((number, Instant::now() + RESTART_DELAY));
            }
        }
        if let Some(place) = restarts.iter().position(|(_, at)| Instant::now() >= *at) {
            let (number, _) = restarts.remove(place);
            deployment.restart(number)?;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn serve_client(
    place: usize,
    client: usize,
    entry: SocketAddr,
    record: &Record,
    active: &AtomicUsize,
) {
    for number in 0.. {
        while client >= active.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(20));
        }
        let id = format!("e{place}c{client}r{number}");
        let answer = upload(entry, &id);
        record.line(&format!("{id} ends: {answer}"));
        if !answer.starts_with("200") {
            std::thread::sleep(Duration::from_millis(500));
        }
    }
}

/// Sends an upload in chunks and returns what came of it.
fn upload(entry: SocketAddr, id: &str) -> String {
    let stream = match connect(entry, Duration::from_secs(5)) {
        Ok(stream) => stream,
        Err(error) => return format!("no connection: {error}"),
    };
    let mut connection = Reader::new(stream);
    let head = format!(
        "POST /sheet/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: 3000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if let Err(error) = connection.stream.write_all(head.as_bytes()) {
        return format!("no head sent: {error}");
    }
    let mut left = UPLOAD_BYTES;
    while left > 0 {
        let size = left.min(CHUNK_BYTES);
        left -= size;
        let mut chunk = format!("{size:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + size, b'u');
        chunk.extend_from_slice(b"\r\n");
        if connection.stream.write_all(&chunk).is_err() {
            break;
        }
    }
    let _ = connection.stream.write_all(b"0\r\n\r\n");
    match connection.message(true) {
        Ok(answer) => answer.start,
        Err(fault) => format!("no answer: {fault:?}"),
    }
}
