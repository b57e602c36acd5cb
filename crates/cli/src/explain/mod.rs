//! `sailtrack explain`: finds the root cause of a request's failure in the logs of nodes.

mod aggregate;
mod cause;
mod line;
mod sampling;
mod table;
mod topology;
mod trace;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

use serde_json::json;

use crate::error::Error;
use crate::exit::Exit;
use crate::options::{Explain, Format};
use aggregate::Aggregate;
use cause::Cause;
use line::Line;
use trace::Trace;

/// Stands for the node of a line from standard input that does not name one.
const UNKNOWN_NODE: &str = "-";

/// Explains one request, or counts all requests that did not succeed.
pub(crate) fn run(explain: &Explain) -> Result<Exit, Error> {
    match &explain.request {
        Some(request) => explain_one(explain, request),
        None => explain_all(explain),
    }
}

/// Prints how many requests failed, by kind, service and root cause.
fn explain_all(explain: &Explain) -> Result<Exit, Error> {
    let mut aggregate = Aggregate::default();
    for_each_log(&explain.logs, |log, source| aggregate.read(log, source))?;
    let (counts, left_out) = aggregate.count();
    match explain.format {
        Format::Json => {
            let rows: Vec<_> = counts
                .iter()
                .map(|(ending, count)| json!({"ending": ending, "count": count}))
                .collect();
            println!("{}", json!({"endings": rows, "events_left_out": left_out}));
        }
        Format::Table => {
            println!("{}", table::by_reason(&counts));
            println!("{}", table::by_second(&counts));
            if let Some(workspaces) = table::by_workspace(&counts) {
                println!("{workspaces}");
            }
            println!("nodes left out {left_out} events; the numbers above allow for them");
        }
    }
    Ok(if counts.is_empty() {
        Exit::Unknown
    } else {
        Exit::Success
    })
}

/// Prints the log lines that concern a request, and its root cause.
fn explain_one(explain: &Explain, request: &str) -> Result<Exit, Error> {
    let mut trace = Trace::default();
    for_each_log(&explain.logs, |log, source| {
        trace.read(request, log, source)
    })?;
    trace.finish();
    let cause = Cause::of(&trace, request);
    match explain.format {
        Format::Json => println!("{}", to_json(&trace, &cause)),
        Format::Table => print(&trace, &cause),
    }
    Ok(match cause {
        Cause::Untold { .. } => Exit::Unknown,
        _ => Exit::Success,
    })
}

/// Passes each log and the name of its node to `read`; standard input if there are no log files.
fn for_each_log(
    logs: &[PathBuf],
    mut read: impl FnMut(&mut dyn BufRead, &str) -> io::Result<()>,
) -> Result<(), Error> {
    for file in logs {
        let to_error = |error| Error::File(file.clone(), error);
        let log = File::open(file).map_err(to_error)?;
        read(&mut BufReader::new(log), &node_name(file)).map_err(to_error)?;
    }
    if logs.is_empty() {
        read(&mut stdin().lock(), UNKNOWN_NODE)?;
    }
    Ok(())
}

/// Returns the name of the node whose log a file is: the file name without its extension.
fn node_name(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or(file.as_os_str());
    stem.to_string_lossy().into_owned()
}

fn to_json(trace: &Trace, cause: &Cause) -> serde_json::Value {
    json!({
        "cause": cause,
        "sentence": cause.to_string(),
        "lines": trace.lines,
        "around": trace.around,
        "crashes": trace.crashes,
        "gaps": trace.gaps,
    })
}

fn print(trace: &Trace, cause: &Cause) {
    for line in &trace.lines {
        print_line(line);
    }
    if !trace.around.is_empty() {
        println!("around it:");
        for line in &trace.around {
            print_line(line);
        }
    }
    if !trace.crashes.is_empty() {
        println!("upstreams that ended under it:");
        for line in &trace.crashes {
            print_line(line);
        }
    }
    print_gaps(&trace.gaps);
    println!("cause: {cause}");
}

/// Prints for each node how many lines it dropped; lines missing from the trace may be among them.
fn print_gaps(gaps: &[Line]) {
    let mut left_out = BTreeMap::<&str, u64>::new();
    for line in gaps {
        *left_out.entry(&line.node).or_default() += line.field("count").parse().unwrap_or(0);
    }
    for (node, count) in left_out {
        println!("{node} left out {count} lines around it");
    }
}

fn print_line(line: &Line) {
    let fields: Vec<String> = line
        .fields
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    println!(
        "{}  {}  {} {}  {}",
        line.time,
        line.node,
        line.event,
        line.message,
        fields.join(" ")
    );
}
