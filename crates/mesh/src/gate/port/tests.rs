//! Classification of failed connections.

use std::io;

use sailtrack_net::dial::DialError;

use super::Finding;

fn found(kind: io::ErrorKind) -> Finding {
    Finding::of(&DialError::Io(kind.into()))
}

/// A node without free file descriptors must not take every lost response for a crash.
#[test]
fn only_refusals_tell() {
    assert_eq!(found(io::ErrorKind::ConnectionRefused), Finding::Refused);
    assert_eq!(found(io::ErrorKind::ConnectionReset), Finding::Accepted);
    let no_descriptor = DialError::Io(io::Error::from_raw_os_error(24));
    assert_eq!(Finding::of(&no_descriptor), Finding::Untried);
    assert_eq!(found(io::ErrorKind::AddrNotAvailable), Finding::Untried);
    assert_eq!(Finding::of(&DialError::Timeout), Finding::Unanswered);
}
