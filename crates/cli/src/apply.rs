//! `sailtrack apply`: puts a declaration in force.

use sailtrack_declaration::Declaration;

use crate::error::Error;
use crate::exit::Exit;
use crate::node::{Message, Node, new_command_id};
use crate::options::Apply;
use crate::output;

/// Validates a declaration file and submits it to a node.
pub(crate) async fn run(apply: Apply) -> Result<Exit, Error> {
    let text = std::fs::read_to_string(&apply.file)
        .map_err(|error| Error::File(apply.file.clone(), error))?;
    let name = apply.file.display().to_string();
    Declaration::parse(&name, &text).map_err(Error::Problems)?;
    let command = new_command_id();
    let message = Message {
        path: "/apply",
        operator: &apply.operator,
        command: &command,
        base: apply.base.map(|base| base.to_string()),
        body: text,
    };
    let (status, value) = Node::new(apply.node).post(message).await?;
    output::print(&value, apply.format);
    Ok(output::exit(status, &value))
}
