//! A parsed INI file with the mistakes found in it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;

use ini::Ini;

use crate::line::{self, Line};
use crate::problem::{Fault, Problem, Problems};
use crate::section::Section;

/// A parsed INI file that returns typed values and collects mistakes.
#[derive(Debug)]
pub struct Document {
    file: String,
    pub(crate) ini: Ini,
    lines: Vec<Line>,
    known: RefCell<BTreeSet<String>>,
    problems: RefCell<Vec<Problem>>,
}

impl Document {
    /// Reads and parses the file at `path`.
    pub fn load(path: &Path) -> Result<Self, Problems> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(error) => Err(file_problem(&file, Fault::Unreadable(error.to_string()))),
        }
    }

    /// Parses `text`; `file` names it in messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| {
            Problems(vec![Problem {
                file: file.to_owned(),
                line: error.line + 1,
                section: String::new(),
                key: None,
                fault: Fault::Syntax(error.msg.to_string()),
            }])
        })?;
        let document = Self {
            file: file.to_owned(),
            ini,
            lines: line::index(text),
            known: RefCell::default(),
            problems: RefCell::default(),
        };
        document.find_duplicates();
        Ok(document)
    }

    /// Returns the names of all sections, in file order.
    #[must_use]
    pub fn section_names(&self) -> Vec<String> {
        let headers = self.lines.iter().filter(|line| line.key.is_none());
        headers.map(|line| line.section.clone()).collect()
    }

    /// Returns the section `name`, and reports it if it is missing.
    pub fn section(&self, name: &str) -> Section<'_> {
        if self.ini.section(Some(name)).is_none() {
            self.report(name, None, Fault::MissingSection);
        }
        self.optional_section(name)
    }

    /// Returns the section `name`, which is empty if it is not in the file.
    pub fn optional_section(&self, name: &str) -> Section<'_> {
        self.known.borrow_mut().insert(name.to_owned());
        Section::new(self, name)
    }

    /// Returns the sections whose header is `[prefix NAME]`, each with its NAME.
    fn sections_of(&self, prefix: &str) -> Vec<(String, Section<'_>)> {
        let mut found = Vec::new();
        for name in self.section_names() {
            let Some(rest) = name.strip_prefix(prefix) else {
                continue;
            };
            if rest.starts_with(' ') {
                found.push((rest.trim().to_owned(), self.optional_section(&name)));
            }
        }
        found
    }

    /// Calls `read` for each section whose header is `[prefix NAME]` and returns the values that
    /// are not `None`.
    pub fn read_all<T>(
        &self,
        prefix: &str,
        read: impl Fn(&str, &Section<'_>) -> Option<T>,
    ) -> Vec<T> {
        let sections = self.sections_of(prefix);
        let read = sections
            .iter()
            .filter_map(|(name, section)| read(name, section));
        read.collect()
    }

    /// Reports a mistake at a section or key.
    pub fn report(&self, section: &str, key: Option<&str>, fault: Fault) {
        let problem = Problem {
            file: self.file.clone(),
            line: self.line_of(section, key),
            section: section.to_owned(),
            key: key.map(ToOwned::to_owned),
            fault,
        };
        self.problems.borrow_mut().push(problem);
    }

    /// Returns every mistake found, as an error, or `Ok` if the file is valid.
    ///
    /// `allowed` lists the allowed sections, for the messages.
    pub fn finish(self, allowed: &str) -> Result<(), Problems> {
        for name in self.section_names() {
            if !self.known.borrow().contains(&name) {
                self.report(&name, None, Fault::UnknownSection(allowed.to_owned()));
            }
        }
        self.report_keys_outside_sections(allowed);
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| problem.line);
        problems.dedup();
        if problems.is_empty() {
            return Ok(());
        }
        Err(Problems(problems))
    }

    fn report_keys_outside_sections(&self, allowed: &str) {
        let outside = self.lines.iter().filter(|line| line.section.is_empty());
        for line in outside {
            let fault = Fault::Contradiction(format!("a key must be in a section: {allowed}"));
            self.report("", line.key.as_deref(), fault);
        }
    }

    fn find_duplicates(&self) {
        for (at, line) in self.lines.iter().enumerate() {
            let same = |other: &&Line| other.section == line.section && other.key == line.key;
            let Some(first) = self.lines[..at].iter().find(same) else {
                continue;
            };
            let fault = match line.key {
                None => Fault::DuplicateSection(first.number),
                Some(_) => Fault::DuplicateKey(first.number),
            };
            self.problems.borrow_mut().push(Problem {
                file: self.file.clone(),
                line: line.number,
                section: line.section.clone(),
                key: line.key.clone(),
                fault,
            });
        }
    }

    fn line_of(&self, section: &str, key: Option<&str>) -> usize {
        let exact = |line: &&Line| line.section == section && line.key.as_deref() == key;
        let header = |line: &&Line| line.section == section && line.key.is_none();
        let found = self.lines.iter().find(exact);
        let found = found.or_else(|| self.lines.iter().find(header));
        found.map_or(1, |line| line.number)
    }
}

fn file_problem(file: &str, fault: Fault) -> Problems {
    Problems(vec![Problem {
        file: file.to_owned(),
        line: 1,
        section: String::new(),
        key: None,
        fault,
    }])
}
