//! A transparent service mesh: one node beside each upstream, through which all
//! requests to and from the upstream pass unchanged.
//!
//! Requests need no headers specific to sailtrack. Names, formats and calls
//! that depend on the platform are behind [`Dialect`] and [`Store`]; all
//! decisions are made in this crate.

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
mod memory;
mod metrics;
mod node;
mod overdue;
mod peer;
mod quarantine;
mod quota;
mod rate_limit;
mod ready;
mod reload;
mod request;
mod retired;
mod retry;
mod retry_after;
mod routing;
mod scrape;
mod settings;
mod shutdown;
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
pub use settings::{Ports, RetryBounds, Settings, StopTime};
pub use store::{
    Content, Lookup, Operation, Row, Rows, Store, StoreError, StoreTime, StoreVersion, Table,
};

/// Runs a node until it is shut down.
pub fn run(settings: Settings, environment: Environment) -> Result<(), Error> {
    sailtrack_log::install_to(Destination::Stdout, settings.log_level);
    let result = sailtrack_net::runtime::run(node::run(settings, environment));
    sailtrack_log::finish();
    result.map_err(Error::Runtime)?
}
