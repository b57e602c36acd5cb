//! `sailtrack explain`: from the id of a request to its cause, out of the logs of nodes.

mod cause;
mod line;
mod trail;

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufReader, stdin};
use std::path::Path;

use serde_json::json;

use crate::error::Error;
use crate::exit::Exit;
use crate::options::{Explain, Format};
use cause::Cause;
use line::Line;
use trail::Trail;

/// The name of the node in logs from standard input that name none.
const NO_SOURCE: &str = "-";

/// Prints what the logs say about a request and what follows from it.
pub(crate) fn run(explain: &Explain) -> Result<Exit, Error> {
    let trail = read(explain)?;
    let cause = Cause::of(&trail, &explain.request);
    match explain.format {
        Format::Json => println!("{}", to_json(&trail, &cause)),
        Format::Table => print(&trail, &cause),
    }
    Ok(match cause {
        Cause::Untold { .. } => Exit::Unknown,
        _ => Exit::Success,
    })
}

fn read(explain: &Explain) -> Result<Trail, Error> {
    let mut trail = Trail::default();
    for file in &explain.logs {
        let source = node_of(file);
        let open = File::open(file).map_err(|error| Error::File(file.clone(), error))?;
        let read = trail.read(&explain.request, BufReader::new(open), &source);
        read.map_err(|error| Error::File(file.clone(), error))?;
    }
    if explain.logs.is_empty() {
        trail.read(&explain.request, stdin().lock(), NO_SOURCE)?;
    }
    trail.settle();
    Ok(trail)
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
