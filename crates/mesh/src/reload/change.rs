//! Compares settings and tells which changes can take effect without a restart.

use displaydoc::Display;

use crate::settings::Settings;

/// A setting, or a group of settings that are applied together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum Change {
    /// [node] name, service, domain
    Identity,
    /// [ports]
    Ports,
    /// [upstream] address
    Upstream,
    /// [store] address
    Store,
    /// [bounds] memory
    Memory,
    /// [bounds] stop-time
    StopTime,
    /// [bounds] forget-after
    ForgetAfter,
    /// [bounds] retry-ratio, retry-slack, retry-window
    Retry,
    /// [bounds] revoke-time
    RevokeTime,
    /// [bounds] quota-window, quota-overage, quota-slack
    Quota,
    /// [log] level
    LogLevel,
}

impl Change {
    /// Returns true if the change takes effect while the node runs. The others concern open sockets
    /// and the identity by which other nodes know this one.
    pub(super) fn is_live(self) -> bool {
        !matches!(
            self,
            Self::Identity | Self::Ports | Self::Upstream | Self::Store
        )
    }
}

/// Returns the settings that differ. `first_start` is not compared, since it only matters at the
/// start of a node.
pub(super) fn diff(before: &Settings, after: &Settings) -> Vec<Change> {
    let compared = [
        (Change::Identity, before.identity != after.identity),
        (Change::Ports, before.ports != after.ports),
        (Change::Upstream, before.upstream != after.upstream),
        (Change::Store, before.store != after.store),
        (Change::Memory, before.memory != after.memory),
        (Change::StopTime, before.stop_time != after.stop_time),
        (
            Change::ForgetAfter,
            before.forget_after != after.forget_after,
        ),
        (Change::Retry, before.retry != after.retry),
        (Change::RevokeTime, before.revoke_time != after.revoke_time),
        (Change::Quota, before.quota != after.quota),
        (Change::LogLevel, before.log_level != after.log_level),
    ];
    let differing = compared.into_iter().filter(|(_, differs)| *differs);
    differing.map(|(change, _)| change).collect()
}

/// Returns the names of the changed settings, for the log.
pub(super) fn names(changes: &[Change]) -> String {
    let names: Vec<String> = changes.iter().map(ToString::to_string).collect();
    names.join("; ")
}
