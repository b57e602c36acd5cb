//! Builds the async runtime, always with the legacy (epoll) driver.

use std::future::Future;
use std::io;

use monoio::{LegacyDriver, RuntimeBuilder};

/// Runs `main` to completion on a new runtime of the current thread.
pub fn run<F: Future>(main: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_all().build()?;
    Ok(runtime.block_on(main))
}
