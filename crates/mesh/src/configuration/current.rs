//! The configuration in force. Its version never decreases.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

use displaydoc::Display;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::{ConfigVersion, Era};

use crate::configuration::Configuration;
use crate::dialect::{Dialect, DialectError};

/// Where a configuration was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Source {
    /// store
    Store(Era),
    /// peer
    Peer,
}

/// The configuration in force, with its original text for peers.
pub(crate) struct Current {
    dialect: Rc<dyn Dialect>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    text: RefCell<Rc<str>>,
    version: Cell<ConfigVersion>,
    /// The latest era of the store in which this version was read from the store.
    era: Cell<Era>,
    callbacks: RefCell<Vec<Box<dyn Fn()>>>,
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
            callbacks: RefCell::default(),
        }
    }

    /// Registers a callback that runs after each change of the configuration in force.
    pub(crate) fn on_change(&self, callback: impl Fn() + 'static) {
        self.callbacks.borrow_mut().push(Box::new(callback));
    }

    /// Returns the configuration in force, if there is one.
    pub(crate) fn get(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns the version in force; zero if there is none.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.version.get()
    }

    /// Returns the original text of the version in force.
    pub(crate) fn text(&self) -> Rc<str> {
        Rc::clone(&self.text.borrow())
    }

    /// Logs that a configuration was rejected; the current version stays in force.
    pub(crate) fn log_rejected(&self, reason: &dyn fmt::Display) {
        let version = self.version.get();
        emit(
            &catalogue::CONFIG_REFUSED,
            &[("version", &version), ("reason", reason)],
        );
    }

    /// Puts a configuration into force if it is valid and newer than the current one.
    ///
    /// It is newer if its version is higher. A store that was restored from a backup may also have
    /// other content under the same version, which is newer if it was read in a later era.
    pub(crate) fn offer(&self, text: &str, source: Source) -> Result<(), DialectError> {
        let parsed = self.dialect.configuration(text);
        let configuration = parsed.inspect_err(|error| self.log_rejected(error))?;
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
        for callback in self.callbacks.borrow().iter() {
            callback();
        }
        Ok(())
    }
}
