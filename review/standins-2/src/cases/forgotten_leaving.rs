//! A leaving that was acknowledged is forgotten, and a late heartbeat brings the upstream back.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cases::Verdict;
use crate::deployment::{Deployment, Failure, HOST, Handler, Upstream, Upstreams, configuration};
use crate::http::{Message, Reader, connect};
use crate::record::Record;

/// How long the store is away; it begins this long before the upstream says that it leaves.
const STORE_AWAY: Duration = Duration::from_millis(4500);
const STORE_AWAY_BEFORE: Duration = Duration::from_millis(500);
/// When all processes are killed, and when they are started again, after the acknowledgement.
const KILLED: Duration = Duration::from_millis(300);
const STARTED: Duration = Duration::from_secs(1);
/// When the late heartbeat arrives, and when the upstream ends, after the acknowledgement.
const HEARTBEAT: Duration = Duration::from_millis(9700);
const ENDED: Duration = Duration::from_secs(15);
/// From here on all machines are in touch again: `stableWindowS` after the store is back.
const IN_TOUCH: Duration = Duration::from_millis(7200);
/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(200);

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, Failure> {
    let configuration = configuration(
        &[
            ("look", "safe", "bank", 2.0),
            ("pay", "unsafe", "bank", 2.0),
        ],
        &["bank", "desk"],
    );
    let members = [
        ("bank", "muc-a"),
        ("bank", "muc-b"),
        ("bank", "nue-a"),
        ("desk", "muc-a"),
        ("desk", "muc-b"),
        ("desk", "nue-a"),
    ];
    let handler: Arc<Handler> = Arc::new(
        |upstream: &Upstream, request: &Message, stream: &mut TcpStream| {
            sleep(WORK);
            // An upstream that has ended answers nothing more.
            !upstream.ended.load(Ordering::SeqCst) && upstream.answer(request, stream, b"done")
        },
    );
    let upstreams = Upstreams::Threads(handler);
    let mut deployment = Deployment::start(record, &members, &configuration, &upstreams)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let entry = deployment.nodes[3 + client % 3].entry;
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            std::thread::spawn(move || serve_client(client, entry, &record, &stop))
        })
        .collect();
    sleep(Duration::from_secs(1));
    let acknowledged = play(&mut deployment, trouble, record)?;
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    let leaver = deployment.nodes[0].upstream.id.clone();
    let late = record.count(
        &format!("upstream {leaver} runs"),
        acknowledged + IN_TOUCH.as_secs_f64(),
    )?;
    record.line(&format!(
        "{late} requests reached {leaver} later than {:.1} s after its leaving was acknowledged; 2 s are allowed",
        IN_TOUCH.as_secs_f64()
    ));
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Plays the events; returns the time of the acknowledgement.
fn play(deployment: &mut Deployment, trouble: bool, record: &Record) -> Result<f64, Failure> {
    let leaver = deployment.nodes[0].upstream.clone();
    let (control, zone) = (
        deployment.nodes[0].control,
        deployment.nodes[0].zone.clone(),
    );
    if trouble {
        record.line("the store is away");
        deployment.store.set_down(true);
    }
    let away = Instant::now();
    sleep(STORE_AWAY_BEFORE);
    record.line(&format!(
        "{} sends a heartbeat, which is held up",
        leaver.id
    ));
    leaver.leaving.store(true, Ordering::SeqCst);
    let status = leaver.deregister(control);
    record.line(&format!(
        "{} deregisters and is answered {status:?}",
        leaver.id
    ));
    if status != Some(200) {
        return Err("the leaving was not acknowledged".into());
    }
    let acknowledged = record.seconds();
    let began = Instant::now();
    let until = |time: Duration| sleep(time.saturating_sub(began.elapsed()));
    if trouble {
        until(KILLED);
        record.line("all processes are killed");
        for node in &mut deployment.nodes {
            node.kill()?;
        }
        until(STARTED);
        for number in 0..deployment.nodes.len() {
            deployment.restart(number)?;
        }
        sleep(STORE_AWAY.saturating_sub(away.elapsed()));
        record.line("the store is back");
        deployment.store.set_down(false);
    }
    until(HEARTBEAT);
    // It was sent before the leaving, so its sequence is an earlier one.
    let status = leaver.send_heartbeat(control, &zone, 4);
    record.line(&format!(
        "the late heartbeat of {} arrives: {status:?}",
        leaver.id
    ));
    until(ENDED);
    record.line(&format!("{} ends", leaver.id));
    leaver.ended.store(true, Ordering::SeqCst);
    sleep(Duration::from_secs(1));
    Ok(acknowledged)
}

fn serve_client(client: usize, entry: SocketAddr, record: &Record, stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{client}r{number}");
        let (method, route) = if number % 2 == 0 {
            ("GET", "look")
        } else {
            ("POST", "pay")
        };
        let answer = ask(entry, method, route, &id);
        record.line(&format!("{id} {method} ends: {answer}"));
        sleep(Duration::from_millis(50));
    }
}

fn ask(entry: SocketAddr, method: &str, route: &str, id: &str) -> String {
    let stream = match connect(entry, Duration::from_secs(5)) {
        Ok(stream) => stream,
        Err(error) => return format!("no connection: {error}"),
    };
    let mut connection = Reader::new(stream);
    let bytes = format!(
        "{method} /{route}/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining: 2000\r\nContent-Length: 0\r\n\r\n"
    );
    if connection.stream.write_all(bytes.as_bytes()).is_err() {
        return "not sent".to_owned();
    }
    match connection.message(true) {
        Ok(answer) => answer.start,
        Err(fault) => format!("no answer: {fault:?}"),
    }
}
