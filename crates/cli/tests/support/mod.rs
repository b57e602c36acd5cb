//! Runs `sailtrack explain` and builds log lines for it.

use std::io::Write as _;
use std::process::{Output, Stdio};

use serde_json::{Value, json};

/// Runs `sailtrack explain` with these arguments and `logs` on standard input.
#[allow(
    clippy::disallowed_types,
    reason = "the test starts the program that it tests"
)]
pub fn explain(arguments: &[&str], logs: &str) -> Output {
    let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_sailtrack"))
        .arg("explain")
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut input = child.stdin.take().expect("standard input is a pipe");
    // The program may exit before it has read all of its input.
    let _ = input.write_all(logs.as_bytes());
    drop(input);
    child.wait_with_output().expect("the program exits")
}

/// Returns a log line as a log collector forwards it, `millis` milliseconds after 09:00:00.
pub fn line(node: &str, millis: u32, event: u32, message: &str, fields: &Value) -> String {
    let mut kvs = fields.clone();
    kvs["event"] = json!(event);
    let time = format!(
        "2026-12-02T09:00:{:02}.{:03}Z",
        millis / 1000,
        millis % 1000
    );
    let object = json!({"timestamp": time, "level": "INFO", "message": message, "kvs": kvs});
    format!("{node} {object}\n")
}
