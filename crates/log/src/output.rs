//! Writes log events through logforth.

use std::fmt::Display;
use std::sync::mpsc;
use std::time::Duration;

use log::{Level, LevelFilter, Record};
use logforth::append;
use logforth::layout::JsonLayout;

use crate::bounded::{Bounded, take_left_out};
use crate::catalogue::{self, Entry};

/// A named value that goes with an event.
pub type Field<'a> = (&'a str, &'a dyn Display);

/// The target that every event carries.
const TARGET: &str = "sailtrack";
/// How long the end of a process waits for its last lines; a reader that stands still must not
/// keep it.
const FINISH_TIME: Duration = Duration::from_millis(200);

/// Where the log of a process goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// To standard error, as for a tool whose output is something else.
    Stderr,
    /// To standard output, where those who run the process collect logs.
    Stdout,
}

/// Sends all events of at least `level` to standard error, one JSON object a line.
pub fn install(level: LevelFilter) {
    install_to(Destination::Stderr, level);
}

/// Sends all events of at least `level` to `destination`, one JSON object a line.
pub fn install_to(destination: Destination, level: LevelFilter) {
    let layout = JsonLayout::default();
    let builder = logforth::starter_log::builder().dispatch(|dispatch| match destination {
        Destination::Stderr => dispatch.append(append::Stderr::default().with_layout(layout)),
        Destination::Stdout => {
            dispatch.append(Bounded::new(append::Stdout::default().with_layout(layout)))
        }
    });
    builder.apply();
    set_level(level);
}

/// Writes events of at least `level` from now on; errors are always written.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level.clamp(LevelFilter::Error, LevelFilter::Debug));
}

/// Logs one event with its fields.
pub fn emit(entry: &Entry, fields: &[Field<'_>]) {
    if entry.level > log::max_level() {
        return;
    }
    write(entry, fields);
    let left_out = take_left_out();
    if left_out > 0 {
        write(&catalogue::LINES_LEFT_OUT, &[("count", &left_out)]);
    }
}

/// Waits a moment until the lines of a process that ends are written.
pub fn finish() {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        // Who waits may have given up.
        let _ = sender.send(());
    });
    // Without an end the reader stands still, and there is nobody to tell.
    let _ = receiver.recv_timeout(FINISH_TIME);
}

fn write(entry: &Entry, fields: &[Field<'_>]) {
    let mut pairs = vec![("event", log::kv::Value::from(entry.number))];
    for (name, value) in fields {
        pairs.push((name, log::kv::Value::from_display(value)));
    }
    let logger = log::logger();
    let level: Level = entry.level;
    logger.log(
        &Record::builder()
            .level(level)
            .target(TARGET)
            .args(format_args!("{}", entry.text))
            .key_values(&pairs.as_slice())
            .build(),
    );
}
