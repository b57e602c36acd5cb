//! Parser of commands and queries; a syntax error names the column where it occurred.

use std::fmt::Display;
use std::str::FromStr;

use displaydoc::Display;
use winnow::ascii::{multispace0, multispace1};
use winnow::combinator::{alt, cut_err, delimited, eof, preceded, repeat, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use crate::command::{Command, Verdict};
use crate::condition::{Comparison, Condition};
use crate::subject::Subject;

/// column {column}: expected {expected}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct SyntaxError {
    /// The column, counted from one.
    pub column: usize,
    /// What the parser expected there.
    pub expected: String,
}

impl std::error::Error for SyntaxError {}

type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// The keywords that a command can start with.
const COMMANDS: &str = "show, count, set, drain, restore, move, cancel or settle";

/// Parses a single command or query.
pub fn parse(text: &str) -> Result<Command, SyntaxError> {
    let mut line = delimited(
        multispace0,
        command,
        (multispace0, cut_err(expect(eof, "the end"))),
    );
    let command = line.parse(text).map_err(|error| {
        let before = text.get(..error.offset()).unwrap_or(text);
        SyntaxError {
            column: before.chars().count() + 1,
            expected: expected(error.inner()),
        }
    })?;
    check_fields(&command, text)?;
    Ok(command)
}

/// Returns what the innermost parser expected, which is the most specific description.
fn expected(error: &ContextError) -> String {
    let first = error.context().find_map(|context| match context {
        StrContext::Expected(StrContextValue::Description(text)) => Some((*text).to_owned()),
        _ => None,
    });
    first.unwrap_or_else(|| COMMANDS.to_owned())
}

/// Labels a parser with what a syntax error says was expected.
fn expect<'a, T>(
    parser: impl Parser<&'a str, T, ErrMode<ContextError>>,
    what: &'static str,
) -> impl Parser<&'a str, T, ErrMode<ContextError>> {
    parser.context(StrContext::Expected(StrContextValue::Description(what)))
}

/// Matches a keyword, but not as the prefix of a longer word.
fn keyword<'a>(text: &'static str) -> impl Parser<&'a str, &'a str, ErrMode<ContextError>> {
    let any_word = take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '-');
    any_word.verify(move |found: &str| found == text)
}

/// Matches a keyword that is required here: its absence is an error, and no alternative is tried.
fn required_keyword<'a>(
    text: &'static str,
) -> impl Parser<&'a str, &'a str, ErrMode<ContextError>> {
    preceded(multispace1, cut_err(expect(keyword(text), text)))
}

/// Matches a bare word or a text in quotes.
fn value<'a>(input: &mut &'a str) -> Parsed<&'a str> {
    let bare = take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || "-_.:+".contains(c)
    });
    let quoted = delimited('"', take_till(0.., '"'), '"');
    alt((quoted, bare)).parse_next(input)
}

/// Matches a value of type `T` that is required here: its absence is an error, and no alternative
/// is tried.
fn required_value<'a, T>(what: &'static str) -> impl Parser<&'a str, T, ErrMode<ContextError>>
where
    T: FromStr,
    T::Err: Display,
{
    let typed = value.verify_map(|text: &str| text.parse().ok());
    preceded(multispace0, cut_err(expect(typed, what)))
}

fn command(input: &mut &str) -> Parsed<Command> {
    alt((show, count, set, drain, restore, move_event, cancel, settle)).parse_next(input)
}

fn show(input: &mut &str) -> Parsed<Command> {
    let config = keyword("config").value(Command::ShowConfig);
    let command_result = preceded(
        keyword("command"),
        required_value::<String>("the id of a command"),
    )
    .map(Command::ShowCommand);
    let rows =
        (subject, conditions).map(|(subject, conditions)| Command::Show(subject, conditions));
    let what = alt((config, command_result, rows));
    let what = cut_err(expect(
        what,
        "events, upstreams, services, kinds, requests unknown, history, calls, config or command",
    ));
    preceded((keyword("show"), multispace0), what).parse_next(input)
}

fn count(input: &mut &str) -> Parsed<Command> {
    let subject = cut_err(expect(
        subject,
        "events, upstreams, services, kinds, requests unknown, history or calls",
    ));
    let field = preceded(required_keyword("by"), required_value::<String>("a field"));
    preceded(
        (keyword("count"), multispace0),
        (subject, field, conditions),
    )
    .map(|(subject, field, conditions)| Command::Count(subject, field, conditions))
    .parse_next(input)
}

fn subject(input: &mut &str) -> Parsed<Subject> {
    alt((
        keyword("events").value(Subject::Events),
        keyword("upstreams").value(Subject::Upstreams),
        keyword("services").value(Subject::Services),
        keyword("kinds").value(Subject::Kinds),
        (keyword("requests"), required_keyword("unknown")).value(Subject::UnknownRequests),
        keyword("history").value(Subject::History),
        keyword("calls").value(Subject::Calls),
    ))
    .parse_next(input)
}

fn conditions(input: &mut &str) -> Parsed<Vec<Condition>> {
    let first = preceded((multispace1, keyword("where")), condition);
    let more = repeat(0.., preceded((multispace1, keyword("and")), condition));
    let all = (first, more).map(|(first, more): (Condition, Vec<Condition>)| {
        let mut all = vec![first];
        all.extend(more);
        all
    });
    let none = winnow::combinator::empty.map(|()| Vec::new());
    alt((all, none)).parse_next(input)
}

fn condition(input: &mut &str) -> Parsed<Condition> {
    let field = required_value::<String>("a field");
    let comparison = preceded(
        multispace0,
        cut_err(expect(comparison, "=, !=, <=, >=, < or >")),
    );
    (field, comparison, required_value::<String>("a value"))
        .map(|(field, comparison, value)| Condition {
            field,
            comparison,
            value,
        })
        .parse_next(input)
}

fn comparison(input: &mut &str) -> Parsed<Comparison> {
    alt((
        "!=".value(Comparison::NotEqual),
        "<=".value(Comparison::AtMost),
        ">=".value(Comparison::AtLeast),
        "=".value(Comparison::Equal),
        "<".value(Comparison::Below),
        ">".value(Comparison::Above),
    ))
    .parse_next(input)
}

fn set(input: &mut &str) -> Parsed<Command> {
    let service = required_value("the name of a service");
    let limit = required_value("auto or a number from 1 to 100000");
    preceded(
        (keyword("set"), required_keyword("limit")),
        (service, preceded(required_keyword("to"), limit)),
    )
    .map(|(service, limit)| Command::SetLimit(service, limit))
    .parse_next(input)
}

fn drain(input: &mut &str) -> Parsed<Command> {
    preceded(keyword("drain"), required_value("the name of a node"))
        .map(Command::Drain)
        .parse_next(input)
}

fn restore(input: &mut &str) -> Parsed<Command> {
    preceded(keyword("restore"), required_value("the name of a node"))
        .map(Command::Restore)
        .parse_next(input)
}

fn move_event(input: &mut &str) -> Parsed<Command> {
    let event = required_value("the name of an event");
    let start = required_value("a time such as 2026-12-31T09:00:00Z");
    preceded(
        (keyword("move"), required_keyword("event")),
        (event, preceded(required_keyword("to"), start)),
    )
    .map(|(event, start)| Command::MoveEvent(event, start))
    .parse_next(input)
}

fn cancel(input: &mut &str) -> Parsed<Command> {
    preceded(
        (keyword("cancel"), required_keyword("event")),
        required_value("the name of an event"),
    )
    .map(Command::CancelEvent)
    .parse_next(input)
}

fn settle(input: &mut &str) -> Parsed<Command> {
    let ticket = required_value("a ticket HOME:INCARNATION:SERIAL:MINTED");
    let verdict = alt((
        keyword("done").value(Verdict::Done),
        keyword("not-run").value(Verdict::NotRun),
    ));
    let verdict = preceded(multispace1, cut_err(expect(verdict, "done or not-run")));
    preceded(
        keyword("settle"),
        (terminated(ticket, required_keyword("as")), verdict),
    )
    .map(|(ticket, verdict)| Command::Settle(ticket, verdict))
    .parse_next(input)
}

/// Rejects fields that the subject does not have.
fn check_fields(command: &Command, text: &str) -> Result<(), SyntaxError> {
    let (subject, by, conditions) = match command {
        Command::Show(subject, conditions) => (subject, None, conditions),
        Command::Count(subject, by, conditions) => (subject, Some(by), conditions),
        _ => return Ok(()),
    };
    let compared = conditions.iter().map(|condition| &condition.field);
    for field in by.into_iter().chain(compared) {
        if !subject.fields().contains(&field.as_str()) {
            let offset = text.rfind(field.as_str()).unwrap_or(0);
            return Err(SyntaxError {
                column: text[..offset].chars().count() + 1,
                expected: format!("a field of {subject}: {}", subject.fields().join(", ")),
            });
        }
    }
    Ok(())
}
