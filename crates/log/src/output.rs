//! Writes log events through logforth.

use std::fmt::Display;
use std::sync::mpsc;
use std::time::Duration;

use log::{Level, LevelFilter, Record};
use logforth::append;
use logforth::layout::JsonLayout;

use crate::bounded::{Bounded, take_dropped_count};
use crate::catalogue::{self, Entry};

/// A field of an event: its name and its value.
pub type Field<'a> = (&'a str, &'a dyn Display);

/// The target of all log records.
const TARGET: &str = "sailtrack";
/// How long a process that exits waits until its last lines are written; limited, since the reader
/// of the log may have stopped reading.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// The output to which a process writes its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// Standard error, for tools whose standard output holds their results.
    Stderr,
    /// Standard output, from which service managers collect logs.
    Stdout,
}

/// Logs events of at least `level` to standard error, one JSON object per line.
pub fn install(level: LevelFilter) {
    install_to(Destination::Stderr, level);
}

/// Logs events of at least `level` to `destination`, one JSON object per line.
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

/// Sets the least severe level that is logged; errors are always logged.
pub fn set_level(level: LevelFilter) {
    log::set_max_level(level.clamp(LevelFilter::Error, LevelFilter::Debug));
}

/// Logs one event with its fields.
pub fn emit(entry: &Entry, fields: &[Field<'_>]) {
    if entry.level > log::max_level() {
        return;
    }
    write(entry, fields);
    let dropped = take_dropped_count();
    if dropped > 0 {
        write(&catalogue::LINES_LEFT_OUT, &[("count", &dropped)]);
    }
}

/// Waits, for a limited time, until all pending lines are written. Call it before the process exits.
pub fn finish() {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        log::logger().flush();
        // The receiver is gone if the wait timed out.
        let _ = sender.send(());
    });
    // A timeout means that nobody reads the log, so it cannot be reported there.
    let _ = receiver.recv_timeout(FLUSH_TIMEOUT);
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
