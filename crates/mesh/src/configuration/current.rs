//! The configuration in force; it only ever moves up.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

use displaydoc::Display;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_units::ConfigVersion;

use crate::configuration::Configuration;
use crate::dialect::{Dialect, DialectError};

/// From whom a configuration came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Source {
    /// store
    Store,
    /// peer
    Peer,
}

/// The configuration in force, with its text for other nodes.
pub(crate) struct Current {
    dialect: Rc<dyn Dialect>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    text: RefCell<Rc<str>>,
    version: Cell<ConfigVersion>,
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
            changed: RefCell::default(),
        }
    }

    /// Calls `changed` after each new version.
    pub(crate) fn listen(&self, changed: impl Fn() + 'static) {
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
    pub(crate) fn refuse(&self, reason: &dyn fmt::Display) {
        let version = self.version.get();
        emit(
            &catalogue::CONFIG_REFUSED,
            &[("version", &version), ("reason", reason)],
        );
    }

    /// Takes a configuration into force if it is sound and newer than the present one.
    pub(crate) fn offer(&self, text: &str, source: Source) -> Result<(), DialectError> {
        let read = self.dialect.configuration(text);
        let configuration = read.inspect_err(|error| self.refuse(error))?;
        if configuration.version <= self.version.get() {
            return Ok(());
        }
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
