//! Conversions between wire messages and the types of `sailtrack_units`.

use displaydoc::Display;
use sailtrack_units as units;

use crate::generated;

/// Why a message could not be converted to a valid value.
#[derive(Debug, Display)]
pub enum WireError {
    /// a request id must have 16 bytes
    RequestId,
    /// a rank must be from 0 to 255
    Rank,
    /// invalid name: {0}
    Name(units::NameError),
    /// a required field of the message is missing
    Missing,
    /// invalid address
    Address,
}

impl std::error::Error for WireError {}

impl From<units::NameError> for WireError {
    fn from(error: units::NameError) -> Self {
        Self::Name(error)
    }
}

impl From<&units::Ticket> for generated::Ticket {
    fn from(ticket: &units::Ticket) -> Self {
        Self {
            home: ticket.home.to_string(),
            incarnation: ticket.incarnation.0,
            serial: ticket.serial,
            minted_ms: ticket.minted.0,
        }
    }
}

impl TryFrom<generated::Ticket> for units::Ticket {
    type Error = WireError;

    fn try_from(ticket: generated::Ticket) -> Result<Self, WireError> {
        Ok(Self {
            home: ticket.home.parse()?,
            incarnation: units::Incarnation(ticket.incarnation),
            serial: ticket.serial,
            minted: units::Timestamp(ticket.minted_ms),
        })
    }
}

impl generated::Call {
    /// Returns the ID of the root request.
    pub fn request_id(&self) -> Result<units::RequestId, WireError> {
        let bytes: [u8; 16] = self.request[..]
            .try_into()
            .map_err(|_| WireError::RequestId)?;
        Ok(units::RequestId(u128::from_be_bytes(bytes)))
    }

    /// Returns the rank of the call in the shedding order.
    pub fn shedding_rank(&self) -> Result<units::Rank, WireError> {
        let index = u8::try_from(self.rank).map_err(|_| WireError::Rank)?;
        Ok(units::Rank::from_index(index))
    }
}

/// Omits the configuration text, since it contains the keys of workspaces.
impl std::fmt::Debug for generated::Config {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let config = &mut f.debug_struct("Config");
        config
            .field("version", &self.version)
            .finish_non_exhaustive()
    }
}
