//! `sailtrack run`.

use std::io::{self, BufRead as _, IsTerminal as _, Write as _};

use crate::error::Error;
use crate::exit::Exit;
use crate::node::{Message, Node, new_command_id};
use crate::options::{Ask, Script};
use crate::output;

/// What is shown to somebody who types commands.
const PROMPT: &str = "sailtrack> ";

/// Runs commands from wherever they come.
pub(crate) async fn run(ask: Ask) -> Result<Exit, Error> {
    match &ask.script {
        Script::Line(line) => run_line(&ask, line).await,
        Script::File(file) => {
            let text = std::fs::read_to_string(file);
            let text = text.map_err(|error| Error::File(file.clone(), error))?;
            run_lines(&ask, text.lines().map(|line| Ok(line.to_owned()))).await
        }
        Script::Terminal => run_terminal(&ask).await,
    }
}

/// Runs lines until one does not succeed.
async fn run_lines(
    ask: &Ask,
    lines: impl Iterator<Item = io::Result<String>>,
) -> Result<Exit, Error> {
    for line in lines {
        let line = line?;
        if is_empty(&line) {
            continue;
        }
        let exit = run_line(ask, &line).await?;
        if exit != Exit::Success {
            return Ok(exit);
        }
    }
    Ok(Exit::Success)
}

/// Runs what is typed; a mistake does not end the session.
async fn run_terminal(ask: &Ask) -> Result<Exit, Error> {
    let stdin = io::stdin();
    if !stdin.is_terminal() {
        return run_lines(ask, stdin.lock().lines()).await;
    }
    loop {
        print!("{PROMPT}");
        io::stdout().flush()?;
        let mut line = String::new();
        if stdin.lock().read_line(&mut line)? == 0 {
            println!();
            return Ok(Exit::Success);
        }
        if is_empty(&line) {
            continue;
        }
        if let Err(error) = run_line(ask, line.trim()).await {
            eprintln!("{error}");
        }
    }
}

async fn run_line(ask: &Ask, line: &str) -> Result<Exit, Error> {
    sailtrack_language::parse(line).map_err(Error::Syntax)?;
    let command = new_command_id();
    let message = Message {
        path: "/command",
        operator: &ask.operator,
        command: &command,
        base: None,
        body: line.to_owned(),
    };
    let (status, value) = Node::new(ask.node).post(message).await?;
    output::print(&value, ask.format);
    Ok(output::exit(status, &value))
}

fn is_empty(line: &str) -> bool {
    line.trim().is_empty() || line.trim().starts_with('#')
}
