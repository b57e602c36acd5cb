//! Parses a declaration from INI text.

use std::path::Path;
use std::str::FromStr;

use sailtrack_settings::{Document, Problems, Section};
use sailtrack_units::{Allowance, Importance, Period, Ratio, Timestamp};

use crate::check;
use crate::declaration::Declaration;
use crate::event::Event;
use crate::kind::{Kind, Repeat, Route};
use crate::service::{Limit, Service};

const ALLOWED_SECTIONS: &str = "[service NAME], [kind NAME], [event NAME], [drained]";
const NAME_FORMAT: &str = "a name of a-z, 0-9, '-', '_' and '.'";
const PERIOD_FORMAT: &str = "a period such as 250ms, 5s or 10m";
const DEFAULT_TIMEOUT: Period = Period::from_millis(10_000);
const DEFAULT_PREPARE: Period = Period::from_millis(60_000);
const DEFAULT_OBJECTIVE: Ratio = Ratio(0.99);

impl Declaration {
    /// Loads a declaration from the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        Self::from_document(Document::load(path)?)
    }

    /// Parses a declaration from `text`; error messages name it `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        Self::from_document(Document::parse(file, text)?)
    }

    fn from_document(document: Document) -> Result<Self, Problems> {
        let declaration = Self {
            services: document.read_all("service", read_service),
            kinds: document.read_all("kind", read_kind),
            events: document.read_all("event", read_event),
            drained: document
                .optional_section("drained")
                .list("nodes", NAME_FORMAT)
                .into_iter()
                .collect(),
        };
        check::report_contradictions(&declaration, &document);
        document.finish(ALLOWED_SECTIONS)?;
        Ok(declaration)
    }
}

/// Parses the name in a section's heading; an invalid one is reported and gives `None`.
fn parse_name<N>(name: &str, section: &Section<'_>) -> Option<N>
where
    N: FromStr,
    N::Err: std::fmt::Display,
{
    match name.parse() {
        Ok(name) => Some(name),
        Err(error) => {
            section.refuse("NAME", name, &format!("{error}"), NAME_FORMAT);
            None
        }
    }
}

fn read_service(name: &str, section: &Section<'_>) -> Option<Service> {
    let limit = section.or(
        "limit",
        Limit::Auto,
        "auto or a whole number from 1 to 100000",
    );
    Some(Service {
        name: parse_name(name, section)?,
        limit,
    })
}

fn read_kind(name: &str, section: &Section<'_>) -> Option<Kind> {
    let service = section.required("service", "the name of a declared service");
    let route = section.required::<Route>("route", "a method and a path");
    let repeat = section.required("repeat", "retry, once or never");
    let allowance = section.or("allowance", Allowance(0), "from 0 to 100");
    let importance = section.or(
        "importance",
        Importance::Normal,
        "low, normal, high, critical",
    );
    let timeout = section.or("timeout", DEFAULT_TIMEOUT, PERIOD_FORMAT);
    let objective = section.or("objective", DEFAULT_OBJECTIVE, "from 0 to 1");
    if timeout.0.is_zero() {
        section.refuse("timeout", "0", "no request can finish", PERIOD_FORMAT);
    }
    if allowance.0 > 0 && repeat.is_some_and(|repeat: Repeat| repeat != Repeat::Retry) {
        let reason = "only a kind with repeat = retry has an allowance";
        section.refuse(
            "allowance",
            &allowance.to_string(),
            reason,
            "0, or repeat = retry",
        );
    }
    Some(Kind {
        name: parse_name(name, section)?,
        service: service?,
        route: route?,
        repeat: repeat?,
        allowance,
        importance,
        timeout,
        objective,
    })
}

fn read_event(name: &str, section: &Section<'_>) -> Option<Event> {
    let start = section.required::<Timestamp>("start", "a time such as 2026-12-31T09:00:00Z");
    let window = section.optional::<Period>("window", PERIOD_FORMAT);
    let end = section.optional::<Timestamp>("end", "a time after the start");
    let prepare = section.or("prepare", DEFAULT_PREPARE, PERIOD_FORMAT);
    let services = section.list("services", "names of declared services");
    if services.is_empty() {
        section.refuse(
            "services",
            "",
            "an event strikes a service",
            "names of declared services",
        );
    }
    let name = parse_name(name, section);
    let window = resolve_window(section, start?, window, end)?;
    Some(Event {
        name: name?,
        start: start?,
        window,
        prepare,
        services,
    })
}

/// Returns the duration of an event; exactly one of `window` and `end` must be given.
fn resolve_window(
    section: &Section<'_>,
    start: Timestamp,
    window: Option<Period>,
    end: Option<Timestamp>,
) -> Option<Period> {
    let allowed = "either a window such as 45m or an end after the start";
    match (window, end) {
        (Some(window), None) if !window.0.is_zero() => Some(window),
        (Some(window), None) => {
            section.refuse(
                "window",
                &window.to_string(),
                "the event has no length",
                allowed,
            );
            None
        }
        (None, Some(end)) if end > start => Some(Period(end.since(start))),
        (None, Some(end)) => {
            section.refuse(
                "end",
                &end.to_string(),
                "the event ends before it starts",
                allowed,
            );
            None
        }
        (Some(_), Some(end)) => {
            section.refuse(
                "end",
                &end.to_string(),
                "the window says it already",
                allowed,
            );
            None
        }
        (None, None) => {
            section.refuse("window", "", "the length is missing", allowed);
            None
        }
    }
}
