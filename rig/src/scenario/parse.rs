//! Parses scenario files.

use std::time::Duration;

use displaydoc::Display;
use winnow::ascii::space0;
use winnow::combinator::{alt, delimited, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use crate::scenario::step::{Bound, Call, Comparison, Outcome, Step};

/// line {line}: {text}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct ParseError {
    /// The line, counted from one.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}

impl std::error::Error for ParseError {}

/// Ends the settings of a load.
const END: &str = "end";

/// Parses a whole scenario; each step comes with its line.
pub fn parse(text: &str) -> Result<Vec<(usize, Step)>, ParseError> {
    let mut steps = Vec::new();
    let mut lines = text.lines().enumerate();
    while let Some((at, line)) = lines.next() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let number = at + 1;
        let wrong = |text: String| ParseError { line: number, text };
        let words = words(line).map_err(|()| wrong("a quote is not closed".to_owned()))?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let mut step = step(&words).ok_or_else(|| wrong(format!("not a step: {line}")))?;
        if let Step::Load { settings, .. } = &mut step {
            for (_, line) in lines.by_ref() {
                if line.trim() == END {
                    break;
                }
                settings.push_str(line.trim());
                settings.push('\n');
            }
        }
        steps.push((number, step));
    }
    Ok(steps)
}

/// Splits a line into words; single quotes hold a word together.
fn words(line: &str) -> Result<Vec<String>, ()> {
    type Parsed<'a> = Result<&'a str, ErrMode<ContextError>>;
    fn word<'a>(input: &mut &'a str) -> Parsed<'a> {
        let quoted = delimited('\'', take_till(0.., '\''), '\'');
        let plain = take_while(1.., |c: char| !c.is_whitespace() && c != '\'');
        alt((quoted, plain)).parse_next(input)
    }
    let one = terminated(word, space0).map(str::to_owned);
    let mut all = preceded(space0, repeat(1.., one));
    let words: Result<Vec<String>, _> = all
        .parse(line)
        .map_err(|_: winnow::error::ParseError<_, ContextError>| ());
    words
}

fn step(words: &[&str]) -> Option<Step> {
    let step = match words {
        ["deploy", file] => deploy(file, false),
        ["deploy", file, "with", "relays"] => deploy(file, true),
        ["set", section, key, value] => Step::Set {
            section: own(section),
            key: own(key),
            value: own(value),
        },
        ["start"] => Step::Start,
        ["load", name, "to", service, "for", length] => Step::Load {
            name: own(name),
            service: own(service),
            length: period(length)?,
            settings: String::new(),
        },
        ["finish", name] => Step::Finish(own(name)),
        ["kill", name] => Step::Kill(own(name)),
        ["freeze", name] => Step::Freeze(own(name)),
        ["thaw", name] => Step::Thaw(own(name)),
        ["stop", name] => Step::Stop(own(name)),
        ["restart", name] => Step::Restart(own(name)),
        ["cut", one, "to", other] => Step::CutOneWay(own(one), own(other)),
        ["cut", one, other] => Step::Cut(own(one), own(other)),
        ["heal"] => Step::Heal,
        ["platform", fault] => Step::Platform(own(fault)),
        ["order", instance, order] => Step::Order(own(instance), own(order)),
        ["ticket", name, "from", instance, "for", kind] => Step::Ticket {
            name: own(name),
            instance: own(instance),
            kind: own(kind),
        },
        ["call", name, "to", instance, method, path, rest @ ..] => {
            Step::Call(call([name, instance, method, path], rest)?)
        }
        ["command", instance, "as", operator, text, "gives", result] => Step::Command {
            instance: own(instance),
            operator: own(operator),
            text: own(text),
            result: own(result),
        },
        ["race", operators, text] => Step::Race {
            operators: operators.parse().ok()?,
            text: own(text),
        },
        ["expect", rest @ ..] => expectation(rest)?,
        _ => return None,
    };
    Some(step)
}

fn deploy(file: &str, relays: bool) -> Step {
    Step::Deploy {
        file: own(file),
        relays,
    }
}

fn call([name, instance, method, path]: [&str; 4], rest: &[&str]) -> Option<Call> {
    let mut call = Call {
        name: own(name),
        instance: own(instance),
        method: own(method),
        path: own(path),
        ..Call::default()
    };
    for pair in rest.chunks(2) {
        match pair {
            ["ticket", ticket] => call.ticket = Some(own(ticket)),
            ["key", key] => call.key = Some(own(key)),
            ["body", body] => call.body = own(body),
            ["timeout", timeout] => call.timeout = Some(period(timeout)?),
            _ => return None,
        }
    }
    Some(call)
}

fn expectation(words: &[&str]) -> Option<Step> {
    let step = match words {
        ["call", name, outcome, "within", within] => Step::ExpectCall {
            name: own(name),
            outcome: parse_outcome(outcome)?,
            within: period(within)?,
        },
        ["same", one, other] => Step::ExpectSame(own(one), own(other)),
        ["exit", name, code, "within", within] => Step::ExpectExit {
            name: own(name),
            code: code.parse().ok()?,
            within: period(within)?,
        },
        ["running", name] => Step::ExpectRunning(own(name)),
        ["rows", instance, query, sign, value, "within", within] => Step::ExpectRows {
            instance: own(instance),
            query: own(query),
            bound: bound(sign, value)?,
            within: period(within)?,
        },
        ["metric", instance, metric, sign, value, "within", within] => Step::ExpectMetric {
            instance: own(instance),
            metric: own(metric),
            bound: bound(sign, value)?,
            within: period(within)?,
        },
        ["version", version, "within", within] => Step::ExpectVersion {
            version: version.parse().ok()?,
            except: Vec::new(),
            within: period(within)?,
        },
        ["version", version, "within", within, "except", except @ ..] => Step::ExpectVersion {
            version: version.parse().ok()?,
            except: except.iter().map(|name| own(name)).collect(),
            within: period(within)?,
        },
        ["started", service, sign, value, "within", within] => Step::ExpectStarted {
            service: own(service),
            bound: bound(sign, value)?,
            within: period(within)?,
        },
        ["quiet", instance, "within", within] => Step::ExpectQuiet {
            instance: own(instance),
            within: period(within)?,
        },
        ["runs", service, path, sign, value] => Step::ExpectRuns {
            service: own(service),
            path: own(path),
            bound: bound(sign, value)?,
        },
        ["total", service, path, sign, value] => Step::ExpectTotal {
            service: own(service),
            path: own(path),
            bound: bound(sign, value)?,
        },
        ["truth", load, "at", service] => Step::ExpectTruth {
            load: own(load),
            service: own(service),
        },
        ["load", load, kind, field, sign, value] => Step::ExpectLoad {
            load: own(load),
            kind: own(kind),
            field: own(field),
            bound: bound(sign, value)?,
        },
        ["no", "mixups"] => Step::ExpectNoMixups,
        ["no", "panics"] => Step::ExpectNoPanics,
        _ => return None,
    };
    Some(step)
}

fn own(word: &str) -> String {
    word.to_owned()
}

fn period(text: &str) -> Option<Duration> {
    humantime::parse_duration(text).ok()
}

fn parse_outcome(text: &str) -> Option<Outcome> {
    match text {
        "done" => Some(Outcome::Done),
        "not-run" => Some(Outcome::NotRun),
        "unknown" => Some(Outcome::Unknown),
        "nothing" => Some(Outcome::Nothing),
        _ => None,
    }
}

fn bound(sign: &str, value: &str) -> Option<Bound> {
    let comparison = match sign {
        "=" => Comparison::Equal,
        "<=" => Comparison::AtMost,
        ">=" => Comparison::AtLeast,
        _ => return None,
    };
    Some(Bound {
        comparison,
        value: value.parse().ok()?,
    })
}
