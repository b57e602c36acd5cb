//! Tickets that bind a non-idempotent request to the one node that may execute it.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

use crate::{Incarnation, NodeName, Timestamp};

/// Identifies the only incarnation of a node that may ever execute a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// The node that may execute the request.
    pub home: NodeName,
    /// The incarnation of that node.
    pub incarnation: Incarnation,
    /// Distinguishes the tickets of one incarnation.
    pub serial: u64,
    /// When the ticket was issued; its lifetime starts here.
    pub minted: Timestamp,
}

/// a ticket has the form HOME:INCARNATION:SERIAL:MINTED
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct TicketError;

impl std::error::Error for TicketError {}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{:016x}:{}",
            self.home, self.incarnation, self.serial, self.minted.0
        )
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let mut fields = text.split(':');
        let mut field = || fields.next().ok_or(TicketError);
        let home = field()?.parse().map_err(|_| TicketError)?;
        let incarnation = field()?.parse().map_err(|_| TicketError)?;
        let serial = u64::from_str_radix(field()?, 16).map_err(|_| TicketError)?;
        let minted = field()?.parse().map(Timestamp).map_err(|_| TicketError)?;
        match fields.next() {
            Some(_) => Err(TicketError),
            None => Ok(Self {
                home,
                incarnation,
                serial,
                minted,
            }),
        }
    }
}
