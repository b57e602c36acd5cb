//! JSON export of a report.

use crate::error::Error;
use crate::export::Exporter;
use crate::report::Summary;

/// Exports a report as JSON.
pub(crate) struct Json;

impl Exporter for Json {
    fn export(&self, summary: &Summary) -> Result<String, Error> {
        serde_json::to_string_pretty(summary).map_err(|error| Error::Answer(error.to_string()))
    }
}
