//! `sailtrack check`: validates declarations without a running system.

use sailtrack_declaration::Declaration;

use crate::exit::Exit;
use crate::options::Check;

/// Validates each file and prints all problems found.
pub(crate) fn run(check: &Check) -> Exit {
    let mut exit = Exit::Success;
    for file in &check.files {
        match Declaration::load(file) {
            Ok(declaration) => println!(
                "{}: sound: {} services, {} kinds, {} events",
                file.display(),
                declaration.services.len(),
                declaration.kinds.len(),
                declaration.events.len()
            ),
            Err(problems) => {
                eprintln!("{problems}");
                exit = Exit::Usage;
            }
        }
    }
    exit
}
