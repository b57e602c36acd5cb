//! Newtypes for the identifiers, sizes, times and rates that sailtrack works with.
//!
//! The types that have both `Display` and `FromStr` round-trip: parsing a printed value gives the
//! same value.

mod clock;
mod ident;
mod importance;
mod moment;
mod name;
mod pace;
mod quantity;
mod rank;
mod ticket;

pub use clock::{Clock, Timestamp};
pub use ident::{ConfigVersion, Era, Incarnation, RequestId};
pub use importance::{Class, Importance};
pub use moment::Moment;
pub use name::{
    DomainName, EventName, KindName, NameError, NodeName, OperatorName, ServiceName, WorkspaceName,
};
pub use pace::{Pace, PaceError};
pub use quantity::{Allowance, ByteSize, Period, QuantityError, Rate, Ratio};
pub use rank::Rank;
pub use ticket::{Ticket, TicketError};
