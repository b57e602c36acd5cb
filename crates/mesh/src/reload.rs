//! Puts changes of the settings file into force while the node runs.
//!
//! The file is read again when a signal asks for it, and looked at from time
//! to time, since it may change without one. A file with mistakes changes
//! nothing. What only a start can change is told as such.

mod change;
#[cfg(test)]
mod tests;
mod watcher;

use std::cell::{Cell, Ref, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_settings::Problems;

use crate::entry::Entry;
use crate::freshness::Freshness;
use crate::quota::Quotas;
use crate::retry::Budget;
use crate::settings::Settings;
use change::Change;
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

    /// Looks at the file for as long as the task lives.
    pub(crate) async fn keep_looking(self: Rc<Self>) {
        loop {
            sleep(LOOK).await;
            self.look(false);
        }
    }

    /// Reads the file again, since a signal asks for it.
    pub(crate) fn request(&self) {
        emit(&catalogue::RELOAD_REQUESTED, &[]);
        self.look(true);
    }

    fn look(&self, is_asked: bool) {
        let Some(file) = self.settings.borrow().file.clone() else {
            return;
        };
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => return self.note_lost(&file, &error, is_asked),
        };
        self.is_lost.set(false);
        let Some(text) = self.watcher.borrow_mut().look(text, is_asked) else {
            return;
        };
        match Settings::parse(&file.display().to_string(), &text) {
            Ok(settings) => self.take(Settings {
                file: Some(file),
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
        self.settings.replace(next.with_fixed_of(present));
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
        parts.entry.most_ready_bytes.set(next.ready_memory());
        parts
            .freshness
            .set_bound(next.revoke_time.map(|time| time.0));
        parts.quotas.set_tolerance(next.quota);
    }
}

fn refuse(problems: &Problems) {
    emit(&catalogue::SETTINGS_REFUSED, &[("reason", problems)]);
}
