//! The active configuration, whose version only increases.

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

/// The value of the configuration's row.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Content {
    /// The declaration, as INI text.
    pub(crate) declaration: String,
    /// The latest changes, oldest first.
    pub(crate) history: Vec<Change>,
}

/// One version of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Version {
    pub(crate) number: ConfigVersion,
    pub(crate) declaration: Declaration,
    pub(crate) content: Content,
}

/// Why a received configuration was not activated.
#[derive(Debug, Display)]
pub(crate) enum ContentError {
    /// the content is damaged
    Damaged,
    /// the declaration is not sound: {0}
    Declaration(Problems),
}

impl std::error::Error for ContentError {}

/// The source of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Source {
    /// platform
    Platform,
    /// peer
    Peer,
    /// operator
    Operator,
}

/// Called after each activation of a version.
type Callback = Box<dyn Fn(&Version)>;

/// The active configuration of this node.
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

    /// Returns the active version; its number is zero before the first one.
    pub(crate) fn current(&self) -> Rc<Version> {
        Rc::clone(&self.current.borrow())
    }

    /// Returns the number of the active version.
    pub(crate) fn version(&self) -> ConfigVersion {
        self.current.borrow().number
    }

    /// Registers a callback for every version activated from now on.
    pub(crate) fn on_change(&self, callback: impl Fn(&Version) + 'static) {
        self.callbacks.borrow_mut().push(Box::new(callback));
    }

    /// Sends the newer versions that peers report to `receiver`.
    pub(crate) fn send_newer_to(&self, receiver: mpsc::Sender<(ConfigVersion, Peer)>) {
        *self.newer_versions.borrow_mut() = Some(receiver);
    }

    /// Reports that `peer` has a newer version.
    pub(crate) fn report_newer(&self, version: ConfigVersion, peer: &Peer) {
        if let Some(newer_versions) = self.newer_versions.borrow_mut().as_mut() {
            // If the channel is full, fetches are already pending.
            let _ = newer_versions.try_send((version, peer.clone()));
        }
    }

    /// Activates a version if it is higher than the current one; returns true if it was.
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
