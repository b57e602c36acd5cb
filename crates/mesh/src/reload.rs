//! Reloads the settings file while the node runs.
//!
//! A thread reads the file when a signal requests it, and also polls it, since
//! the file may change without a signal. A file with errors changes nothing.
//! Changes that only take effect at the next start are logged as such.

mod change;
mod reader;
#[cfg(test)]
mod tests;
mod watcher;

use std::cell::{Cell, Ref, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_settings::Problems;

use crate::entry::Entry;
use crate::freshness::Freshness;
use crate::gate::Records;
use crate::peer::Acceptor;
use crate::quota::Quotas;
use crate::retry::Budget;
use crate::settings::Settings;
use change::Change;
use reader::{Reader, Reading, Trigger};
use watcher::Watcher;

/// How often the file is polled. A change without a signal takes effect after two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The components of a node whose settings can change while it runs.
pub(crate) struct Components {
    pub(crate) budget: Rc<Budget>,
    pub(crate) entry: Rc<Entry>,
    pub(crate) freshness: Rc<Freshness>,
    pub(crate) peer_port: Rc<Acceptor>,
    pub(crate) quotas: Rc<Quotas>,
    pub(crate) records: Rc<Records>,
}

/// The settings in force, and the state of reloading them from their file.
pub(crate) struct Reload {
    settings: RefCell<Settings>,
    watcher: RefCell<Watcher>,
    /// Whether the last attempt to read the file failed.
    is_unreadable: Cell<bool>,
    components: RefCell<Option<Components>>,
    /// Requests a reload; set once the reader thread runs.
    trigger: RefCell<Option<Trigger>>,
}

impl Service for Reload {
    const NAME: &'static str = "reload";
}

impl Reload {
    /// Starts with the settings that the node was started with.
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            settings: RefCell::new(settings),
            watcher: RefCell::default(),
            is_unreadable: Cell::new(false),
            components: RefCell::default(),
            trigger: RefCell::default(),
        }
    }

    /// Sets the components to which changes are applied.
    pub(crate) fn set_components(&self, components: Components) {
        self.components.replace(Some(components));
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    /// Applies changes of the file until its reader ends; returns at once if there is no file.
    pub(crate) async fn run(self: Rc<Self>) {
        let Some(file) = self.settings.borrow().file.clone() else {
            return;
        };
        let mut reader = match Reader::start(file.clone(), POLL_INTERVAL) {
            Ok((reader, trigger)) => {
                self.trigger.replace(Some(trigger));
                reader
            }
            Err(error) => return self.log_unreadable(&file, &error, true),
        };
        while let Some(reading) = reader.next().await {
            self.handle_reading(&file, reading);
        }
    }

    /// Requests a reload, on behalf of a signal.
    pub(crate) fn request(&self) {
        emit(&catalogue::RELOAD_REQUESTED, &[]);
        let trigger = self.trigger.borrow();
        if !trigger.as_ref().is_some_and(Trigger::request) {
            let reason = "the settings file is not being read";
            emit(&catalogue::SETTINGS_REFUSED, &[("reason", &reason)]);
        }
    }

    fn handle_reading(&self, file: &Path, reading: Reading) {
        let is_requested = reading.is_requested;
        let text = match reading.text {
            Ok(text) => text,
            Err(error) => return self.log_unreadable(file, &error, is_requested),
        };
        self.is_unreadable.set(false);
        let Some(text) = self.watcher.borrow_mut().observe(text, is_requested) else {
            return;
        };
        match Settings::parse(&file.display().to_string(), &text) {
            Ok(settings) => self.apply(Settings {
                file: Some(file.to_owned()),
                ..settings
            }),
            Err(problems) => log_rejected(&problems),
        }
    }

    fn log_unreadable(&self, file: &Path, error: &std::io::Error, is_requested: bool) {
        if self.is_unreadable.replace(true) && !is_requested {
            return;
        }
        let reason = format!("{}: {error}", file.display());
        emit(&catalogue::SETTINGS_REFUSED, &[("reason", &reason)]);
    }

    /// Applies the changes that can take effect now, and logs all changes.
    fn apply(&self, next: Settings) {
        let changes = change::diff(&self.settings.borrow(), &next);
        if changes.is_empty() {
            return;
        }
        let (in_force, next_start): (Vec<Change>, Vec<Change>) =
            changes.into_iter().partition(|change| change.is_live());
        self.configure_components(&next);
        let current = self.settings.borrow().clone();
        self.settings.replace(next.with_fixed_from(current));
        emit(
            &catalogue::SETTINGS_CHANGED,
            &[
                ("in_force", &change::names(&in_force)),
                ("next_start", &change::names(&next_start)),
            ],
        );
    }

    fn configure_components(&self, next: &Settings) {
        sailtrack_log::set_level(next.log_level);
        let components = self.components.borrow();
        let Some(components) = components.as_ref() else {
            return;
        };
        components.budget.set_bounds(next.retry);
        components.entry.memory.resize(next.memory);
        components.records.resize(next.memory);
        components
            .entry
            .max_pending_response_bytes
            .set(next.pending_response_memory());
        components
            .entry
            .connections
            .set_max_bytes(next.client_memory());
        components
            .peer_port
            .connections
            .set_max_bytes(next.peer_input_memory());
        components
            .freshness
            .set_bound(next.revoke_time.map(|time| time.0));
        components.quotas.set_tolerance(next.quota);
    }
}

fn log_rejected(problems: &Problems) {
    emit(&catalogue::SETTINGS_REFUSED, &[("reason", problems)]);
}
