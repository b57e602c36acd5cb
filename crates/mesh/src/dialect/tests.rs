//! A dialect for tests of what is read from responses.

use sailtrack_net::http::Request;
use sailtrack_units::Rate;

use crate::configuration::Configuration;
use crate::dialect::{Announcement, Dialect, DialectError, FieldNames, Load};

/// Reads loads, of which only the pace differs, rates and the word "yes".
pub(crate) struct ResponsesOnly;

impl Dialect for ResponsesOnly {
    fn fields(&self) -> &FieldNames {
        unreachable!("no request is sent")
    }

    fn announcement(&self, _request: &Request) -> Result<Announcement, DialectError> {
        Err(DialectError::NotFound)
    }

    fn acknowledgement(&self) -> String {
        String::new()
    }

    fn is_readiness_probe(&self, _request: &Request) -> bool {
        false
    }

    fn configuration(&self, _text: &str) -> Result<Configuration, DialectError> {
        Err(DialectError::NotFound)
    }

    fn load(&self, value: &str) -> Option<Load> {
        let pace = value.parse().ok();
        (value != "nothing").then_some(Load {
            running: 1,
            waiting: 2,
            slots: 3,
            pace,
            is_complete: pace.is_some(),
        })
    }

    fn rate_limit(&self, value: &str) -> Option<Rate> {
        value.parse().ok().map(Rate)
    }

    fn is_leaving(&self, value: &str) -> bool {
        value == "yes"
    }
}
