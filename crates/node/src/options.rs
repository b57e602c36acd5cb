//! Validated command-line options.

use std::path::PathBuf;

use clap::ArgMatches;
use sailtrack_kernel::Error;

use crate::settings::Settings;

/// The command-line options, with the settings read and validated.
#[derive(Debug)]
pub(crate) struct Options {
    pub(crate) file: PathBuf,
    pub(crate) check_only: bool,
    pub(crate) settings: Settings,
}

impl Options {
    /// Returns the options, or all errors in the settings.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, Error> {
        let file = matches.get_one::<PathBuf>("settings").cloned();
        let file = file.unwrap_or_default();
        let settings = Settings::load(&file).map_err(Error::Settings)?;
        Ok(Self {
            check_only: matches.get_flag("check"),
            settings,
            file,
        })
    }
}
