//! Processes of a run, each ended by its own id at the latest when it is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::error::RigError;

/// How often the end of a process is looked for.
const LOOK: Duration = Duration::from_millis(5);

/// One process of a run.
#[derive(Debug)]
pub struct Process {
    /// The name under which the run knows it.
    pub name: String,
    child: std::process::Child,
    /// Where its log goes.
    pub log: PathBuf,
}

/// Returns the path of a binary that was built beside the running program.
#[must_use]
pub fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let mut folder = own.parent().unwrap_or(Path::new(".")).to_path_buf();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

impl Process {
    /// Starts a binary with its settings; its log is appended to `log`.
    #[allow(clippy::disallowed_types)]
    pub fn start(name: &str, program: &str, settings: &Path, log: &Path) -> Result<Self, RigError> {
        let output = File::options().create(true).append(true).open(log)?;
        let child = std::process::Command::new(binary(program))
            .arg(settings)
            .stdin(std::process::Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|error| RigError::Start(program.to_owned(), error))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log: log.to_path_buf(),
        })
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) -> Result<(), RigError> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Asks the process to end in an orderly way.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Stops the process without ending it.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self, limit: Duration) -> Result<Option<i32>, RigError> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status.code());
            }
            if started.elapsed() >= limit {
                return Err(RigError::NotReached(
                    format!("the end of {}", self.name),
                    limit,
                ));
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Returns true while the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).unwrap_or(0);
        // A process that has ended needs no signal.
        let _ = kill(Pid::from_raw(id), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.thaw();
        // It may have ended by itself.
        let _ = self.kill();
    }
}
