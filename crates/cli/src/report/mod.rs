//! Error budget report, by service and kind of request.

mod burn;
mod gather;
mod step;

use crate::error::Error;
use crate::options::Report;

pub(crate) use burn::{Burn, Summary};
pub(crate) use step::Step;

/// Fetches the counts of the nodes and computes the report.
pub(crate) async fn summary(report: &Report) -> Result<Summary, Error> {
    let counts = gather::gather(report).await?;
    Ok(burn::summarize(counts, report.short, report.long))
}
