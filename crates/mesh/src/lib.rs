//! The transparent path of sailtrack: a node beside each upstream that takes
//! every request in and out of it, unchanged.
//!
//! Requests need no header of sailtrack's own. What differs between the places
//! where a mesh runs, names, formats and calls, is behind [`Dialect`] and
//! [`Store`]; all decisions are here.

mod announcement;
mod body;
mod cleanup;
mod clock;
mod configuration;
mod contexts;
mod dialect;
mod directory;
mod dispatch;
mod entry;
mod events;
mod freshness;
mod gate;
mod gossip;
mod incarnation;
mod key;
mod metrics;
mod node;
mod peer;
mod quarantine;
mod quota;
mod ready;
mod reload;
mod request;
mod retired;
mod retry;
mod retry_after;
mod routing;
mod scrape;
mod settings;
mod status;
mod store;
mod suspension;
mod watch;

use sailtrack_kernel::Error;
use sailtrack_log::Destination;

pub use configuration::{
    ClientLimits, Configuration, Credential, Route, RouteBuilder, ServiceRules, Share, Workspace,
    WorkspaceError, Workspaces,
};
pub use dialect::{Announcement, Dialect, DialectError, FieldNames, Heartbeat, Load, Readiness};
pub use key::{AttemptKey, KeyError, UpstreamKey};
pub use node::Environment;
pub use settings::{Ports, RetryBounds, Settings};
pub use store::{
    Content, Lookup, Operation, Row, Rows, Store, StoreError, StoreTime, StoreVersion, Table,
};

/// Runs a node until it is stopped.
pub fn run(settings: Settings, environment: Environment) -> Result<(), Error> {
    sailtrack_log::install_to(Destination::Stdout, settings.log_level);
    let result = sailtrack_net::runtime::run(node::run(settings, environment));
    sailtrack_log::finish();
    result.map_err(Error::Runtime)?
}
