//! What operators set about admission.

use std::str::FromStr;

use displaydoc::Display;
use sailtrack_units::Period;

/// How a node decides; the two others are baselines to compare with.
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

/// What operators set about admission.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How the node decides.
    pub policy: Policy,
    /// The limit of the fixed policy.
    pub fixed_limit: u32,
    /// The longest time that a call waits for admission.
    pub queue_time: Period,
    /// The same for a call that belongs to a request in progress, of which work would be lost.
    pub nested_queue_time: Period,
    /// How long a new upstream is ramped up.
    pub warm_up: Period,
}
