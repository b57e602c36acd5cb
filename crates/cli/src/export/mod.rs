//! Export of a report, with one exporter per output format.

mod json;
mod svg;
mod text;

use crate::error::Error;
use crate::options::ReportFormat;
use crate::report::Summary;

/// Exports a report in one format.
trait Exporter {
    /// Returns the exported report.
    fn export(&self, summary: &Summary) -> Result<String, Error>;
}

/// Returns the report in the chosen format.
pub(crate) fn export(summary: &Summary, format: ReportFormat) -> Result<String, Error> {
    let exporter: Box<dyn Exporter> = match format {
        ReportFormat::Text => Box::new(text::Text),
        ReportFormat::Json => Box::new(json::Json),
        ReportFormat::Svg => Box::new(svg::Svg),
    };
    exporter.export(summary)
}
