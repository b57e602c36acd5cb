//! Puts changes of the settings file into force while the node runs.
//!
//! The file is read again when a signal asks for it, and looked at from time
//! to time, since it may change without one, both on a thread of its own. A file with mistakes changes
//! nothing. What only a start can change is told as such.

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
use crate::quota::Quotas;
use crate::retry::Budget;
use crate::settings::Settings;
use change::Change;
use reader::{Asker, Reader, Reading};
use watcher::Watcher;

/// How often the file is looked at: an operator who changes it without a signal waits two looks.
const LOOK: Duration = Duration::from_secs(1);

/// The parts of a node whose settings may change while it runs.
pub(crate) struct Parts {
    pub(crate) budget: Rc<Budget>,
    pub(crate) entry: Rc<Entry>,
    pub(crate) freshness: Rc<Freshness>,
    pub(crate) quotas: Rc<Quotas>,
}

/// The settings in force and the file from which they come.
pub(crate) struct Reload {
    settings: RefCell<Settings>,
    watcher: RefCell<Watcher>,
    /// The file could not be read at the last look.
    is_lost: Cell<bool>,
    parts: RefCell<Option<Parts>>,
    /// Asks for a look, once the file is read.
    asker: RefCell<Option<Asker>>,
}

impl Service for Reload {
    const NAME: &'static str = "reload";
}

impl Reload {
    /// Begins with the settings with which the node starts.
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            settings: RefCell::new(settings),
            watcher: RefCell::default(),
            is_lost: Cell::new(false),
            parts: RefCell::default(),
            asker: RefCell::default(),
        }
    }

    /// Names the parts to which changes are told.
    pub(crate) fn serve(&self, parts: Parts) {
        self.parts.replace(Some(parts));
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Ref<'_, Settings> {
        self.settings.borrow()
    }

    /// Takes in what is read of the file for as long as the task lives.
    pub(crate) async fn keep_looking(self: Rc<Self>) {
        let Some(file) = self.settings.borrow().file.clone() else {
            return;
        };
        let mut reader = match Reader::start(file.clone(), LOOK) {
            Ok((reader, asker)) => {
                self.asker.replace(Some(asker));
                reader
            }
            Err(error) => return self.note_lost(&file, &error, true),
        };
        while let Some(reading) = reader.next().await {
            self.take_reading(&file, reading);
        }
    }

    /// Reads the file again, since a signal asks for it.
    pub(crate) fn request(&self) {
        emit(&catalogue::RELOAD_REQUESTED, &[]);
        let asker = self.asker.borrow();
        if !asker.as_ref().is_some_and(Asker::ask) {
            let reason = "the settings file is not read";
            emit(&catalogue::SETTINGS_REFUSED, &[("reason", &reason)]);
        }
    }

    fn take_reading(&self, file: &Path, reading: Reading) {
        let is_asked = reading.is_asked;
        let text = match reading.text {
            Ok(text) => text,
            Err(error) => return self.note_lost(file, &error, is_asked),
        };
        self.is_lost.set(false);
        let Some(text) = self.watcher.borrow_mut().look(text, is_asked) else {
            return;
        };
        match Settings::parse(&file.display().to_string(), &text) {
            Ok(settings) => self.take(Settings {
                file: Some(file.to_owned()),
                ..settings
            }),
            Err(problems) => refuse(&problems),
        }
    }

    fn note_lost(&self, file: &Path, error: &std::io::Error, is_asked: bool) {
        if self.is_lost.replace(true) && !is_asked {
            return;
        }
        let reason = format!("{}: {error}", file.display());
        emit(&catalogue::SETTINGS_REFUSED, &[("reason", &reason)]);
    }

    /// Puts what may change into force and tells the rest.
    fn take(&self, next: Settings) {
        let changes = change::between(&self.settings.borrow(), &next);
        if changes.is_empty() {
            return;
        }
        let (in_force, next_start): (Vec<Change>, Vec<Change>) =
            changes.into_iter().partition(|change| change.is_live());
        self.tell(&next);
        let present = self.settings.borrow().clone();
        self.settings.replace(next.with_fixed_from(present));
        emit(
            &catalogue::SETTINGS_CHANGED,
            &[
                ("in_force", &change::names(&in_force)),
                ("next_start", &change::names(&next_start)),
            ],
        );
    }

    fn tell(&self, next: &Settings) {
        sailtrack_log::set_level(next.log_level);
        let parts = self.parts.borrow();
        let Some(parts) = parts.as_ref() else {
            return;
        };
        parts.budget.set_bounds(next.retry);
        parts.entry.memory.resize(next.body_memory());
        parts
            .entry
            .max_pending_response_bytes
            .set(next.pending_response_memory());
        parts
            .freshness
            .set_bound(next.revoke_time.map(|time| time.0));
        parts.quotas.set_tolerance(next.quota);
    }
}

fn refuse(problems: &Problems) {
    emit(&catalogue::SETTINGS_REFUSED, &[("reason", problems)]);
}
