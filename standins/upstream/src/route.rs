//! What the stand-in does for each kind of request.

use std::str::FromStr;

use displaydoc::Display;
use sailtrack_units::{ByteSize, Period, Ratio};

/// How the time of the work is spread around its mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WorkTime {
    Fixed,
    Exponential,
}

/// the spread must be fixed or exponential
#[derive(Debug, Display)]
pub(crate) struct WorkTimeError;

impl FromStr for WorkTime {
    type Err = WorkTimeError;

    fn from_str(text: &str) -> Result<Self, WorkTimeError> {
        match text {
            "fixed" => Ok(Self::Fixed),
            "exponential" => Ok(Self::Exponential),
            _ => Err(WorkTimeError),
        }
    }
}

/// One call that the work makes to another service.
#[derive(Debug, Clone)]
pub(crate) struct Subcall {
    pub(crate) method: String,
    pub(crate) service: String,
    pub(crate) path: String,
}

/// Calls in the order in which they are made.
#[derive(Debug, Clone, Default)]
pub(crate) struct SubcallList(pub(crate) Vec<Subcall>);

/// each call has the form METHOD SERVICE PATH
#[derive(Debug, Display)]
pub(crate) struct SubcallError;

impl FromStr for SubcallList {
    type Err = SubcallError;

    fn from_str(text: &str) -> Result<Self, SubcallError> {
        let parts = text
            .split(';')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let calls = parts.map(|part| {
            let words: Vec<&str> = part.split_whitespace().collect();
            let [method, service, path] = words[..] else {
                return Err(SubcallError);
            };
            Ok(Subcall {
                method: method.to_owned(),
                service: service.to_owned(),
                path: path.to_owned(),
            })
        });
        calls.collect::<Result<_, _>>().map(Self)
    }
}

/// What the stand-in does for one kind of request.
#[derive(Debug, Clone)]
pub(crate) struct Route {
    pub(crate) method: String,
    pub(crate) prefix: String,
    /// The mean time of the work itself.
    pub(crate) time: Period,
    pub(crate) spread: WorkTime,
    pub(crate) calls: Vec<Subcall>,
    pub(crate) parallel: bool,
    /// How often the service itself repeats a call that failed.
    pub(crate) retries: u32,
    /// The size of the answer.
    pub(crate) answer: ByteSize,
    /// The share of requests that fail after they ran.
    pub(crate) fail: Ratio,
}

impl Route {
    /// Returns true if a request takes this route.
    pub(crate) fn matches(&self, method: &str, path: &str) -> bool {
        let rest = path.strip_prefix(&self.prefix);
        let whole = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']));
        self.method == method && whole
    }
}
