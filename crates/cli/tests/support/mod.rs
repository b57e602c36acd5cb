//! Starts `sailtrack explain` and writes logs for it.

use std::io::Write as _;
use std::process::{Output, Stdio};

use serde_json::{Value, json};

/// Runs `sailtrack explain` for a request on logs from standard input.
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
    let mut input = child.stdin.take().expect("it is a pipe");
    // It may have ended before it read everything.
    let _ = input.write_all(logs.as_bytes());
    drop(input);
    child.wait_with_output().expect("it ends")
}

/// Returns a line as a log collector hands it on, at a time in milliseconds.
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
