//! `sailtrack run`: runs commands of the query and command language.

use std::io::{self, BufRead as _, IsTerminal as _, Write as _};

use crate::error::Error;
use crate::exit::Exit;
use crate::node::{Message, Node, new_command_id};
use crate::options::{Run, Script};
use crate::output;

/// The prompt of an interactive session.
const PROMPT: &str = "sailtrack> ";

/// Runs the commands from the arguments, a file or standard input.
pub(crate) async fn run(options: Run) -> Result<Exit, Error> {
    match &options.script {
        Script::Line(line) => run_line(&options, line).await,
        Script::File(file) => {
            let text = std::fs::read_to_string(file);
            let text = text.map_err(|error| Error::File(file.clone(), error))?;
            run_lines(&options, text.lines().map(|line| Ok(line.to_owned()))).await
        }
        Script::Terminal => run_terminal(&options).await,
    }
}

/// Runs commands line by line and stops at the first that does not succeed.
async fn run_lines(
    options: &Run,
    lines: impl Iterator<Item = io::Result<String>>,
) -> Result<Exit, Error> {
    for line in lines {
        let line = line?;
        if is_blank(&line) {
            continue;
        }
        let exit = run_line(options, &line).await?;
        if exit != Exit::Success {
            return Ok(exit);
        }
    }
    Ok(Exit::Success)
}

/// Runs commands from standard input; in an interactive session, an error does not end it.
async fn run_terminal(options: &Run) -> Result<Exit, Error> {
    let stdin = io::stdin();
    if !stdin.is_terminal() {
        return run_lines(options, stdin.lock().lines()).await;
    }
    loop {
        print!("{PROMPT}");
        io::stdout().flush()?;
        let mut line = String::new();
        if stdin.lock().read_line(&mut line)? == 0 {
            println!();
            return Ok(Exit::Success);
        }
        if is_blank(&line) {
            continue;
        }
        if let Err(error) = run_line(options, line.trim()).await {
            eprintln!("{error}");
        }
    }
}

async fn run_line(options: &Run, line: &str) -> Result<Exit, Error> {
    sailtrack_language::parse(line).map_err(Error::Syntax)?;
    let command = new_command_id();
    let message = Message {
        path: "/command",
        operator: &options.operator,
        command: &command,
        base: None,
        body: line.to_owned(),
    };
    let (status, value) = Node::new(options.node).post(message).await?;
    output::print(&value, options.format);
    Ok(output::exit(status, &value))
}

/// Returns true for an empty line or a comment.
fn is_blank(line: &str) -> bool {
    line.trim().is_empty() || line.trim().starts_with('#')
}
