//! `sailtrack explain`: from the id of a request to its cause, out of the logs of nodes.

mod cause;
mod census;
mod line;
mod places;
mod rounds;
mod table;
mod trail;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

use serde_json::json;

use crate::error::Error;
use crate::exit::Exit;
use crate::options::{Explain, Format};
use cause::Cause;
use census::Census;
use line::Line;
use trail::Trail;

/// The name of the node in logs from standard input that name none.
const NO_SOURCE: &str = "-";

/// Prints what the logs say about a request, or about all that did not succeed.
pub(crate) fn run(explain: &Explain) -> Result<Exit, Error> {
    match &explain.request {
        Some(request) => explain_one(explain, request),
        None => explain_all(explain),
    }
}

/// Prints how many requests ended in which way.
fn explain_all(explain: &Explain) -> Result<Exit, Error> {
    let mut census = Census::default();
    each_log(&explain.logs, |log, source| census.read(log, source))?;
    let (counts, left_out) = census.count();
    match explain.format {
        Format::Json => {
            let rows: Vec<_> = counts
                .iter()
                .map(|(ending, count)| json!({"ending": ending, "count": count}))
                .collect();
            println!("{}", json!({"endings": rows, "events_left_out": left_out}));
        }
        Format::Table => {
            println!("{}", table::ways(&counts));
            println!("{}", table::seconds(&counts));
            if let Some(workspaces) = table::workspaces(&counts) {
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

/// Prints what the logs say about a request and what follows from it.
fn explain_one(explain: &Explain, request: &str) -> Result<Exit, Error> {
    let mut trail = Trail::default();
    each_log(&explain.logs, |log, source| {
        trail.read(request, log, source)
    })?;
    trail.settle();
    let cause = Cause::of(&trail, request);
    match explain.format {
        Format::Json => println!("{}", to_json(&trail, &cause)),
        Format::Table => print(&trail, &cause),
    }
    Ok(match cause {
        Cause::Untold { .. } => Exit::Unknown,
        _ => Exit::Success,
    })
}

/// Hands each log with the name of its node to `read`, or standard input if there are none.
fn each_log(
    logs: &[PathBuf],
    mut read: impl FnMut(&mut dyn BufRead, &str) -> io::Result<()>,
) -> Result<(), Error> {
    for file in logs {
        let in_file = |error| Error::File(file.clone(), error);
        let open = File::open(file).map_err(in_file)?;
        read(&mut BufReader::new(open), &node_of(file)).map_err(in_file)?;
    }
    if logs.is_empty() {
        read(&mut stdin().lock(), NO_SOURCE)?;
    }
    Ok(())
}

/// Returns the node that a log file is named after.
fn node_of(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or(file.as_os_str());
    stem.to_string_lossy().into_owned()
}

fn to_json(trail: &Trail, cause: &Cause) -> serde_json::Value {
    json!({
        "cause": cause,
        "sentence": cause.to_string(),
        "lines": trail.lines,
        "around": trail.around,
        "crashes": trail.crashes,
        "gaps": trail.gaps,
    })
}

fn print(trail: &Trail, cause: &Cause) {
    for line in &trail.lines {
        print_line(line);
    }
    if !trail.around.is_empty() {
        println!("around it:");
        for line in &trail.around {
            print_line(line);
        }
    }
    if !trail.crashes.is_empty() {
        println!("upstreams that ended under it:");
        for line in &trail.crashes {
            print_line(line);
        }
    }
    print_gaps(&trail.gaps);
    println!("cause: {cause}");
}

/// Says for each node how much it left out; what is missing above may be among it.
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
