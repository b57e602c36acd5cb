//! The configuration of admission control.

use std::str::FromStr;

use displaydoc::Display;
use sailtrack_units::Period;

/// How a node decides which calls to admit; `forward` and `fixed` are baselines for comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Policy {
    /// forward
    Forward,
    /// fixed
    Fixed,
    /// adaptive
    Adaptive,
}

/// policy must be one of: forward, fixed, adaptive
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct PolicyError;

impl FromStr for Policy {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<Self, PolicyError> {
        match text {
            "forward" => Ok(Self::Forward),
            "fixed" => Ok(Self::Fixed),
            "adaptive" => Ok(Self::Adaptive),
            _ => Err(PolicyError),
        }
    }
}

/// The configuration of admission control.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// The admission policy.
    pub policy: Policy,
    /// The concurrency limit of the fixed policy.
    pub fixed_limit: u32,
    /// The maximum time that a call waits for admission.
    pub queue_time: Period,
    /// The same for a nested call: refusing it wastes the work already done for its root request.
    pub nested_queue_time: Period,
    /// The duration of the slow start of a new upstream.
    pub warm_up: Period,
}
