//! Message framing: determines where the body of a message ends.

#[cfg(test)]
mod tests;

use crate::transparent::fields::Fields;
use crate::transparent::head::HeadError;

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with its last chunk.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Returns the framing of a request body.
///
/// A request with ambiguous framing is rejected, since two servers could disagree on where the next
/// request begins (request smuggling).
pub fn request_framing(fields: &Fields) -> Result<Framing, HeadError> {
    let length = content_length(fields)?;
    match (is_chunked(fields)?, length) {
        (true, Some(_)) => Err(HeadError::Ambiguous),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(0) | None) => Ok(Framing::None),
        (false, Some(length)) => Ok(Framing::Length(length)),
    }
}

/// Returns the framing of the body of a response with this status.
///
/// `to_head` says that the response is to a `HEAD` request.
pub fn response_framing(status: u16, to_head: bool, fields: &Fields) -> Result<Framing, HeadError> {
    let has_no_body = to_head || status < 200 || status == 204 || status == 304;
    let length = content_length(fields)?;
    match (is_chunked(fields)?, length) {
        (true, Some(_)) => Err(HeadError::Ambiguous),
        _ if has_no_body => Ok(Framing::None),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

fn content_length(fields: &Fields) -> Result<Option<u64>, HeadError> {
    let mut lengths = fields.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if lengths.next().is_some() {
        return Err(HeadError::Ambiguous);
    }
    let is_number = first.iter().all(u8::is_ascii_digit) && !first.is_empty();
    let text = std::str::from_utf8(first).map_err(|_| HeadError::Malformed)?;
    match text.parse() {
        Ok(length) if is_number => Ok(Some(length)),
        _ => Err(HeadError::Malformed),
    }
}

/// Returns true for a chunked body; other transfer codings are rejected.
fn is_chunked(fields: &Fields) -> Result<bool, HeadError> {
    let mut codings = fields.all("transfer-encoding");
    let Some(first) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !first.eq_ignore_ascii_case(b"chunked") {
        return Err(HeadError::Coding);
    }
    Ok(true)
}
