//! Which settings differ, and whether a running node can follow.

use displaydoc::Display;

use crate::settings::Settings;

/// A setting, or some that belong together.
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
    /// Returns true if it takes effect while the node runs; the others are bound to sockets and
    /// to what other nodes know of this one.
    pub(super) fn is_live(self) -> bool {
        !matches!(
            self,
            Self::Identity | Self::Ports | Self::Upstream | Self::Store
        )
    }
}

/// Returns what differs; whether the mesh starts for the first time matters at a start only.
pub(super) fn between(before: &Settings, after: &Settings) -> Vec<Change> {
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

/// Returns the names of all, for the log.
pub(super) fn names(changes: &[Change]) -> String {
    let names: Vec<String> = changes.iter().map(ToString::to_string).collect();
    names.join("; ")
}
