//! Where the body of a message ends.

#[cfg(test)]
mod tests;

use crate::transparent::fields::Fields;
use crate::transparent::head::HeadError;

/// Where the body of a message ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

/// Returns where the body of a request ends.
///
/// A request whose end can be read in two ways is refused, since two servers
/// could disagree on where the next one begins.
pub fn request_framing(fields: &Fields) -> Result<Framing, HeadError> {
    let length = stated_length(fields)?;
    match (transfer_coding(fields)?, length) {
        (true, Some(_)) => Err(HeadError::Ambiguous),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(0) | None) => Ok(Framing::None),
        (false, Some(length)) => Ok(Framing::Length(length)),
    }
}

/// Returns where the body of an answer with this status ends.
pub fn response_framing(status: u16, to_head: bool, fields: &Fields) -> Result<Framing, HeadError> {
    let bodiless = to_head || status < 200 || status == 204 || status == 304;
    let length = stated_length(fields)?;
    match (transfer_coding(fields)?, length) {
        (true, Some(_)) => Err(HeadError::Ambiguous),
        _ if bodiless => Ok(Framing::None),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

fn stated_length(fields: &Fields) -> Result<Option<u64>, HeadError> {
    let mut lengths = fields.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.next().is_some() {
        return Err(HeadError::Ambiguous);
    }
    let digits = first.iter().all(u8::is_ascii_digit) && !first.is_empty();
    let text = std::str::from_utf8(first).map_err(|_| HeadError::Malformed)?;
    match text.parse() {
        Ok(length) if digits => Ok(Some(length)),
        _ => Err(HeadError::Malformed),
    }
}

/// Returns true for a chunked body; no other coding is known.
fn transfer_coding(fields: &Fields) -> Result<bool, HeadError> {
    let mut codings = fields.all("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !first.eq_ignore_ascii_case(b"chunked") {
        return Err(HeadError::Coding);
    }
    Ok(true)
}
