//! Writes a declaration as INI text.

use std::fmt;

use crate::declaration::Declaration;
use crate::event::Event;
use crate::kind::Kind;

impl fmt::Display for Declaration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for service in &self.services {
            writeln!(f, "[service {}]\nlimit = {}\n", service.name, service.limit)?;
        }
        for kind in &self.kinds {
            write_kind(f, kind)?;
        }
        for event in &self.events {
            write_event(f, event)?;
        }
        if !self.drained.is_empty() {
            writeln!(f, "[drained]\nnodes = {}\n", join(&self.drained))?;
        }
        Ok(())
    }
}

fn join<T: ToString>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}

fn write_kind(f: &mut fmt::Formatter<'_>, kind: &Kind) -> fmt::Result {
    writeln!(f, "[kind {}]", kind.name)?;
    writeln!(f, "service = {}", kind.service)?;
    writeln!(f, "route = {}", kind.route)?;
    writeln!(f, "repeat = {}", kind.repeat)?;
    writeln!(f, "allowance = {}", kind.allowance)?;
    writeln!(f, "importance = {}", kind.importance)?;
    writeln!(f, "timeout = {}", kind.timeout)?;
    writeln!(f, "objective = {}\n", kind.objective)
}

fn write_event(f: &mut fmt::Formatter<'_>, event: &Event) -> fmt::Result {
    writeln!(f, "[event {}]", event.name)?;
    writeln!(f, "start = {}", event.start)?;
    writeln!(f, "window = {}", event.window)?;
    writeln!(f, "prepare = {}", event.prepare)?;
    writeln!(f, "services = {}\n", join(&event.services))
}
