//! Mistakes in an INI file, with their places and messages.

use std::fmt;

use displaydoc::Display;

/// One kind of mistake.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Fault {
    /// the file cannot be read: {0}
    Unreadable(String),
    /// invalid INI syntax: {0}
    Syntax(String),
    /// unknown key; allowed: {0}
    UnknownKey(String),
    /// unknown section; allowed: {0}
    UnknownSection(String),
    /// the key is missing; allowed: {0}
    Missing(String),
    /// the section is missing
    MissingSection,
    /// duplicate section, first defined on line {0}
    DuplicateSection(usize),
    /// duplicate key, first defined on line {0}
    DuplicateKey(usize),
    /// {value:?} is not allowed: {reason}; allowed: {allowed}
    Value {
        /// The value found in the file.
        value: String,
        /// Why it was rejected.
        reason: String,
        /// The allowed values.
        allowed: String,
    },
    /// {0}
    Contradiction(String),
}

/// A mistake and its place in the file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The name of the file, as given by the caller.
    pub file: String,
    /// The line, counted from one; for something missing, the header of its section, or line one.
    pub line: usize,
    /// The section, empty for lines before the first section.
    pub section: String,
    /// The key, if the mistake concerns one.
    pub key: Option<String>,
    /// The kind of mistake.
    pub fault: Fault,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        write!(f, "{}", self.fault)
    }
}

/// The mistakes found in one file, in line order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Problems {}
