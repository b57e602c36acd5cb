//! `sailtrack report`: reports the burn of error budgets.

use crate::error::Error;
use crate::exit::Exit;
use crate::export;
use crate::options::Report;
use crate::report;

/// Prints the report in the chosen format, or writes it to a file.
pub(crate) async fn run(options: Report) -> Result<Exit, Error> {
    let summary = report::summary(&options).await?;
    let text = export::export(&summary, options.format)?;
    match &options.to {
        Some(file) => {
            std::fs::write(file, text).map_err(|error| Error::File(file.clone(), error))?;
        }
        None => println!("{text}"),
    }
    Ok(Exit::Success)
}
