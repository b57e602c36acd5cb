//! Incremental decoder for the chunked transfer coding.

#[cfg(test)]
mod tests;

use bytes::{Buf as _, BytesMut};

/// The maximum length of a chunk-size line or trailer field line, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// The maximum number of hexadecimal digits of a chunk size; no real chunk needs more.
const MAX_SIZE_DIGITS: usize = 12;
/// The maximum size of the trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// The input is not a valid chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Malformed;

/// Which part of a chunked body is expected next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Size,
    Data(u64),
    EndOfData,
    Trailer,
    Done,
}

/// Decodes a chunked body whose bytes may arrive in pieces of any size.
#[derive(Debug)]
pub(super) struct Decoder {
    state: State,
    trailer_bytes: usize,
}

impl Decoder {
    pub(super) fn new() -> Self {
        Self {
            state: State::Size,
            trailer_bytes: 0,
        }
    }

    /// Moves decoded data from `input` to `body`; returns true once the body is complete.
    ///
    /// Bytes after the end of the body stay in `input`.
    pub(super) fn advance(
        &mut self,
        input: &mut BytesMut,
        body: &mut BytesMut,
    ) -> Result<bool, Malformed> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                State::Data(0) => self.state = State::EndOfData,
                State::Data(left) => {
                    if input.is_empty() {
                        return Ok(false);
                    }
                    let count = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
                    body.extend_from_slice(&input[..count]);
                    input.advance(count);
                    self.state = State::Data(left - count as u64);
                }
                State::Size | State::EndOfData | State::Trailer => {
                    let Some(line) = take_line(input)? else {
                        return Ok(false);
                    };
                    self.handle_line(&line)?;
                }
            }
        }
    }

    fn handle_line(&mut self, line: &[u8]) -> Result<(), Malformed> {
        self.state = match self.state {
            State::Size => match parse_size(line)? {
                0 => State::Trailer,
                size => State::Data(size),
            },
            State::EndOfData if line.is_empty() => State::Size,
            State::EndOfData => return Err(Malformed),
            State::Trailer if line.is_empty() => State::Done,
            State::Trailer => {
                self.trailer_bytes += line.len();
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(Malformed);
                }
                State::Trailer
            }
            state @ (State::Data(_) | State::Done) => state,
        };
        Ok(())
    }
}

/// Removes the next line from the input and returns it without its line break, or `None` if it is
/// not complete yet.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        if input.len() > MAX_LINE_BYTES {
            return Err(Malformed);
        }
        return Ok(None);
    };
    if end > MAX_LINE_BYTES || end == 0 || input[end - 1] != b'\r' {
        return Err(Malformed);
    }
    let mut line = input.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line))
}

/// Parses a chunk-size line; chunk extensions are ignored.
fn parse_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or(line);
    let digits = digits.trim_ascii_end();
    let is_valid = !digits.is_empty()
        && digits.len() <= MAX_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| Malformed)?;
    match u64::from_str_radix(text, 16) {
        Ok(size) if is_valid => Ok(size),
        _ => Err(Malformed),
    }
}
