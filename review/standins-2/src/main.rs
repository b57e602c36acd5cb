//! Runs one case of the review: `review-standins CASE RECORD-FILE`, in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` the disruption is left out.

mod cases;
mod deployment;
mod http;
mod record;
mod store;

use std::process::ExitCode;

use cases::Verdict;
use deployment::Upstream;
use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "upstream") {
        if let Err(error) = Upstream::serve_alone(&arguments[1..], cases::handler) {
            eprintln!("upstream: {error}");
        }
        return ExitCode::from(2);
    }
    let mut arguments = arguments.into_iter();
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins CASE RECORD-FILE");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    let word = if trouble { "with" } else { "without" };
    record.line(&format!("{case}, {word} the disruption"));
    match cases::run(&case, trouble, &record) {
        Ok(verdict) => {
            record.line(&format!("the rule: {verdict:?}"));
            println!("{case} {word} the disruption: {verdict:?}");
            ExitCode::from(u8::from(verdict == Verdict::Broken))
        }
        Err(error) => {
            record.line(&format!("could not run: {error}"));
            eprintln!("{case}: {error}");
            ExitCode::from(2)
        }
    }
}
