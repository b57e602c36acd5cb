//! The configuration in force; it only ever moves up.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

use displaydoc::Display;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{ConfigVersion, Era};

use crate::configuration::Configuration;
use crate::dialect::{Dialect, DialectError};

/// From whom a configuration came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Source {
    /// store
    Store(Era),
    /// peer
    Peer,
}

/// The configuration in force, with its text for other nodes.
pub(crate) struct Current {
    dialect: Rc<dyn Dialect>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    text: RefCell<Rc<str>>,
    version: Cell<ConfigVersion>,
    /// The latest era of the store in which it was read there.
    era: Cell<Era>,
    changed: RefCell<Vec<Box<dyn Fn()>>>,
}

impl Service for Current {
    const NAME: &'static str = "configuration";
}

impl Current {
    pub(crate) fn new(dialect: Rc<dyn Dialect>) -> Self {
        Self {
            dialect,
            configuration: RefCell::default(),
            text: RefCell::new(Rc::from("")),
            version: Cell::default(),
            era: Cell::default(),
            changed: RefCell::default(),
        }
    }

    /// Calls `changed` after each new version.
    pub(crate) fn on_change(&self, changed: impl Fn() + 'static) {
        self.changed.borrow_mut().push(Box::new(changed));
    }

    /// Returns the configuration in force, if there is one.
    pub(crate) fn get(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns the version in force, zero if there is none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.version.get()
    }

    /// Returns the text of the version in force, as it was read.
    pub(crate) fn text(&self) -> Rc<str> {
        Rc::clone(&self.text.borrow())
    }

    /// Logs a configuration that cannot be read; the present version stays in force.
    pub(crate) fn log_rejected(&self, reason: &dyn fmt::Display) {
        let version = self.version.get();
        emit(
            &catalogue::CONFIG_REFUSED,
            &[("version", &version), ("reason", reason)],
        );
    }

    /// Takes a configuration into force if it is sound and newer than the present one: by its version
    /// or, if a store that came back from a copy has other content under the same one, by its era.
    pub(crate) fn offer(&self, text: &str, source: Source) -> Result<(), DialectError> {
        let read = self.dialect.configuration(text);
        let configuration = read.inspect_err(|error| self.log_rejected(error))?;
        let version = configuration.version.cmp(&self.version.get());
        let era = match source {
            Source::Store(era) => era,
            Source::Peer => self.era.get(),
        };
        let is_rewritten = era > self.era.get() && *text != **self.text.borrow();
        if version.is_lt() || version.is_eq() && !is_rewritten {
            if version.is_eq() {
                self.era.set(era);
            }
            return Ok(());
        }
        self.era.set(era);
        self.version.set(configuration.version);
        emit(
            &catalogue::CONFIG_IN_FORCE,
            &[("version", &configuration.version), ("source", &source)],
        );
        *self.configuration.borrow_mut() = Some(Rc::new(configuration));
        *self.text.borrow_mut() = Rc::from(text);
        for changed in self.changed.borrow().iter() {
            changed();
        }
        Ok(())
    }
}
