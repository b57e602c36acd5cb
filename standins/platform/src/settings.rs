//! The settings of the stand-in.

use std::net::SocketAddr;
use std::path::Path;

use sailtrack_settings::{Document, Problems};
use sailtrack_units::Rate;

/// The settings of the stand-in.
pub(crate) struct Settings {
    pub(crate) address: SocketAddr,
    pub(crate) writes: Rate,
    pub(crate) reads: Rate,
}

impl Settings {
    /// Reads the settings in the file at `path`.
    pub(crate) fn load(path: &Path) -> Result<Self, Problems> {
        let document = Document::load(path)?;
        let section = document.section("platform");
        let address = section.required("address", "an IP number with a port");
        let writes = section.or("writes", Rate(400.0), "a rate such as 400/s");
        let reads = section.or("reads", Rate(2000.0), "a rate such as 2000/s");
        drop(section);
        document.finish("[platform]")?;
        let address = address.ok_or_else(Problems::default)?;
        Ok(Self {
            address,
            writes,
            reads,
        })
    }
}
