//! The configuration in force, which only ever moves to a higher version.

mod accept;
mod change;
mod fetch;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::rc::Rc;

use displaydoc::Display;
use futures::channel::mpsc;
use sailtrack_declaration::Declaration;
use sailtrack_kernel::Service;
use sailtrack_log::{catalogue, emit};
use sailtrack_settings::Problems;
use sailtrack_units::ConfigVersion;
use serde::{Deserialize, Serialize};

pub(crate) use accept::{Acceptance, Acceptor, Proposal};
pub(crate) use change::Change;
pub(crate) use fetch::Fetcher;

use crate::membership::Peer;

/// The key of the row that holds the configuration.
pub(crate) const CONFIG_KEY: &str = "config";

/// What stands in the configuration's row.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Content {
    /// The declaration, as INI text.
    pub(crate) declaration: String,
    /// The latest changes, the newest last.
    pub(crate) history: Vec<Change>,
}

/// One version of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Version {
    pub(crate) number: ConfigVersion,
    pub(crate) declaration: Declaration,
    pub(crate) content: Content,
}

/// Why a configuration that came in was not put into force.
#[derive(Debug, Display)]
pub(crate) enum ContentError {
    /// the content is damaged
    Damaged,
    /// the declaration is not sound: {0}
    Declaration(Problems),
}

impl std::error::Error for ContentError {}

/// Where a configuration came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Source {
    /// platform
    Platform,
    /// peer
    Peer,
    /// operator
    Operator,
}

/// Calls itself whenever a version has been put into force.
type Callback = Box<dyn Fn(&Version)>;

/// The configuration in force on this node.
pub(crate) struct Configuration {
    current: RefCell<Rc<Version>>,
    newer_versions: RefCell<Option<mpsc::Sender<(ConfigVersion, Peer)>>>,
    callbacks: RefCell<Vec<Callback>>,
}

impl Service for Configuration {
    const NAME: &'static str = "configuration";
}

impl Configuration {
    pub(crate) fn new() -> Self {
        Self {
            current: RefCell::default(),
            newer_versions: RefCell::default(),
            callbacks: RefCell::default(),
        }
    }

    /// Returns the version in force; its number is zero before the first one.
    pub(crate) fn current(&self) -> Rc<Version> {
        Rc::clone(&self.current.borrow())
    }

    /// Returns the number of the version in force.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.current.borrow().number
    }

    /// Calls `listener` for every version that is put into force from now on.
    pub(crate) fn on_change(&self, callback: impl Fn(&Version) + 'static) {
        self.callbacks.borrow_mut().push(Box::new(callback));
    }

    /// Sends what is heard of newer versions to `receiver`.
    pub(crate) fn send_newer_to(&self, receiver: mpsc::Sender<(ConfigVersion, Peer)>) {
        *self.newer_versions.borrow_mut() = Some(receiver);
    }

    /// Notes that `peer` has a newer version.
    pub(crate) fn report_newer(&self, version: ConfigVersion, peer: &Peer) {
        if let Some(newer_versions) = self.newer_versions.borrow_mut().as_mut() {
            // A full channel means that a fetch is under way already.
            let _ = newer_versions.try_send((version, peer.clone()));
        }
    }

    /// Puts a version into force if it is higher than the present one; returns true if it was.
    pub(crate) fn advance(
        &self,
        number: ConfigVersion,
        text: &str,
        source: Source,
    ) -> Result<bool, ContentError> {
        if number <= self.version() {
            return Ok(false);
        }
        let version = parse(number, text).inspect_err(|error| {
            emit(
                &catalogue::CONFIG_REFUSED,
                &[("version", &number), ("reason", error)],
            );
        })?;
        *self.current.borrow_mut() = Rc::new(version);
        emit(
            &catalogue::CONFIG_IN_FORCE,
            &[("version", &number), ("source", &source)],
        );
        let current = self.current();
        for callback in self.callbacks.borrow().iter() {
            callback(&current);
        }
        Ok(true)
    }
}

fn parse(number: ConfigVersion, text: &str) -> Result<Version, ContentError> {
    let content: Content = serde_json::from_str(text).map_err(|_| ContentError::Damaged)?;
    let name = format!("configuration version {number}");
    let declaration =
        Declaration::parse(&name, &content.declaration).map_err(ContentError::Declaration)?;
    Ok(Version {
        number,
        declaration,
        content,
    })
}
