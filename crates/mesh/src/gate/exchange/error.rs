//! Why an exchange with the local upstream failed.

use displaydoc::Display;
use sailtrack_net::dial::DialError;
use sailtrack_net::transparent::{BodyError, HeadError, MessageError};

/// Why an exchange produced no response that can be forwarded.
#[derive(Debug, Display)]
pub(in crate::gate) enum ExchangeError {
    /// the connection failed, nothing was sent: {0}
    Connect(DialError),
    /// the deadline passed before the request was sent
    Late,
    /// the connection was lost: {0}
    Io(std::io::Error),
    /// {0}
    Message(MessageError),
    /// {0}
    Body(BodyError),
    /// {0}
    Head(HeadError),
    /// the answer lacks the signature field of the upstream
    Unsigned,
    /// the answer has a content encoding that was not requested
    Encoded,
    /// the answer belongs to another request
    Mismatched,
    /// the upstream was restarted and has no knowledge of the request
    Restarted,
}

impl ExchangeError {
    /// Returns true if the connection broke before the response was complete.
    pub(in crate::gate) fn is_broken(&self) -> bool {
        match self {
            Self::Io(_) => true,
            Self::Message(error) => !matches!(error, MessageError::Head(_)),
            Self::Body(error) => matches!(error, BodyError::Cut | BodyError::Io(_)),
            _ => false,
        }
    }

    /// Returns true if the upstream may still work on the request.
    pub(in crate::gate) fn may_still_run(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Late | Self::Restarted | Self::Unsigned | Self::Encoded => {
                false
            }
            Self::Io(_) | Self::Message(_) | Self::Body(_) | Self::Head(_) | Self::Mismatched => {
                true
            }
        }
    }

    /// Returns true if the upstream cannot have received the request.
    pub(in crate::gate) fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Late)
    }
}
