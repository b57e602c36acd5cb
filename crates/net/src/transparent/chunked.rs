//! Takes the data out of a chunked body, however its bytes arrive.

#[cfg(test)]
mod tests;

use bytes::{Buf as _, BytesMut};

/// The longest line with the size of a chunk, in bytes, or field after the last one.
const LONGEST_LINE: usize = 4096;
/// The most hexadecimal digits of a size; more cannot be a real one.
const MOST_DIGITS: usize = 12;
/// The most bytes of the fields after the last chunk.
const MOST_TRAILER: usize = 16 * 1024;

/// The body is not chunked as HTTP says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Malformed;

/// What stands next in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Size,
    Data(u64),
    EndOfData,
    Trailer,
    Done,
}

/// Takes the data out of a chunked body.
#[derive(Debug)]
pub(super) struct Decoder {
    part: Part,
    trailer: usize,
}

impl Decoder {
    pub(super) fn new() -> Self {
        Self {
            part: Part::Size,
            trailer: 0,
        }
    }

    /// Moves data from `input` to `body`; returns true once the body has ended.
    ///
    /// What follows the body stays in `input`.
    pub(super) fn advance(
        &mut self,
        input: &mut BytesMut,
        body: &mut BytesMut,
    ) -> Result<bool, Malformed> {
        loop {
            match self.part {
                Part::Done => return Ok(true),
                Part::Data(0) => self.part = Part::EndOfData,
                Part::Data(left) => {
                    if input.is_empty() {
                        return Ok(false);
                    }
                    let here = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
                    body.extend_from_slice(&input[..here]);
                    input.advance(here);
                    self.part = Part::Data(left - here as u64);
                }
                Part::Size | Part::EndOfData | Part::Trailer => {
                    let Some(line) = take_line(input)? else {
                        return Ok(false);
                    };
                    self.take_line(&line)?;
                }
            }
        }
    }

    fn take_line(&mut self, line: &[u8]) -> Result<(), Malformed> {
        self.part = match self.part {
            Part::Size => match size(line)? {
                0 => Part::Trailer,
                size => Part::Data(size),
            },
            Part::EndOfData if line.is_empty() => Part::Size,
            Part::EndOfData => return Err(Malformed),
            Part::Trailer if line.is_empty() => Part::Done,
            Part::Trailer => {
                self.trailer += line.len();
                if self.trailer > MOST_TRAILER {
                    return Err(Malformed);
                }
                Part::Trailer
            }
            part @ (Part::Data(_) | Part::Done) => part,
        };
        Ok(())
    }
}

/// Takes a line with its end off the input, or nothing if it is not whole yet.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
    let Some(end) = input.iter().position(|byte| *byte == b'\n') else {
        if input.len() > LONGEST_LINE {
            return Err(Malformed);
        }
        return Ok(None);
    };
    if end > LONGEST_LINE || end == 0 || input[end - 1] != b'\r' {
        return Err(Malformed);
    }
    let mut line = input.split_to(end + 1);
    line.truncate(end - 1);
    Ok(Some(line))
}

/// Returns the size that a line states; extensions after it are ignored.
fn size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or(line);
    let digits = digits.trim_ascii_end();
    let sound = !digits.is_empty()
        && digits.len() <= MOST_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).map_err(|_| Malformed)?;
    match u64::from_str_radix(text, 16) {
        Ok(size) if sound => Ok(size),
        _ => Err(Malformed),
    }
}
