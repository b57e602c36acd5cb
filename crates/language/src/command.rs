//! Commands and queries as abstract syntax.

use std::fmt;

use sailtrack_declaration::Limit;
use sailtrack_units::{EventName, NodeName, ServiceName, Ticket, Timestamp};

use crate::condition::Condition;
use crate::subject::Subject;

/// An operator's finding on a request whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request ran.
    Done,
    /// The request did not run.
    NotRun,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
        })
    }
}

/// One command or query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Show the rows of a subject that meet all conditions.
    Show(Subject, Vec<Condition>),
    /// Count the rows of a subject that meet all conditions, grouped by a field.
    Count(Subject, String, Vec<Condition>),
    /// Show the declaration in force.
    ShowConfig,
    /// Show the result of a command, by its id.
    ShowCommand(String),
    /// Set the limit of a service.
    SetLimit(ServiceName, Limit),
    /// Take an upstream out of service.
    Drain(NodeName),
    /// Return a drained upstream to service.
    Restore(NodeName),
    /// Move the start of an event.
    MoveEvent(EventName, Timestamp),
    /// Remove an event.
    CancelEvent(EventName),
    /// Record the outcome of a request that had an unknown one.
    Settle(Ticket, Verdict),
}

impl Command {
    /// Returns true if the command changes the configuration.
    #[must_use]
    pub fn is_change(&self) -> bool {
        matches!(
            self,
            Self::SetLimit(..)
                | Self::Drain(_)
                | Self::Restore(_)
                | Self::MoveEvent(..)
                | Self::CancelEvent(_)
        )
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(subject, conditions) => {
                write!(f, "show {subject}")?;
                write_conditions(f, conditions)
            }
            Self::Count(subject, field, conditions) => {
                write!(f, "count {subject} by {field}")?;
                write_conditions(f, conditions)
            }
            Self::ShowConfig => f.write_str("show config"),
            Self::ShowCommand(id) => write!(f, "show command {id}"),
            Self::SetLimit(service, limit) => write!(f, "set limit {service} to {limit}"),
            Self::Drain(node) => write!(f, "drain {node}"),
            Self::Restore(node) => write!(f, "restore {node}"),
            Self::MoveEvent(event, start) => write!(f, "move event {event} to {start}"),
            Self::CancelEvent(event) => write!(f, "cancel event {event}"),
            Self::Settle(ticket, verdict) => write!(f, "settle {ticket} as {verdict}"),
        }
    }
}

fn write_conditions(f: &mut fmt::Formatter<'_>, conditions: &[Condition]) -> fmt::Result {
    for (index, condition) in conditions.iter().enumerate() {
        let word = if index == 0 { "where" } else { "and" };
        write!(f, " {word} {condition}")?;
    }
    Ok(())
}
