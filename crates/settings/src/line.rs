//! Indexes the lines that sections and keys are defined on.

/// The content of one line of an INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Content {
    Section(String),
    Key(String),
    Ignored,
}

/// A line that sets a key or, if `key` is `None`, opens a section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Line {
    pub(crate) number: usize,
    pub(crate) section: String,
    pub(crate) key: Option<String>,
}

fn parse(text: &str) -> Content {
    let text = text.trim();
    if text.is_empty() || text.starts_with('#') || text.starts_with(';') {
        return Content::Ignored;
    }
    if let Some(name) = text.strip_prefix('[').and_then(|t| t.strip_suffix(']')) {
        return Content::Section(name.trim().to_owned());
    }
    let key = text.split(['=', ':']).next().unwrap_or(text);
    Content::Key(key.trim().to_owned())
}

/// Returns the lines that open a section or set a key, in file order.
pub(crate) fn index(text: &str) -> Vec<Line> {
    let mut section = String::new();
    let mut lines = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let key = match parse(line) {
            Content::Ignored => continue,
            Content::Section(name) => {
                section = name;
                None
            }
            Content::Key(key) => Some(key),
        };
        lines.push(Line {
            number: at + 1,
            section: section.clone(),
            key,
        });
    }
    lines
}
