//! Typed access to the keys of one section.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::document::Document;
use crate::problem::Fault;

/// Separates the items of a list value.
const LIST_SEPARATOR: char = ',';

/// One section of a [`Document`]; every key that is read becomes a known key.
///
/// Keys in the file that were never read are reported as unknown when the section is dropped.
#[derive(Debug)]
pub struct Section<'a> {
    document: &'a Document,
    name: String,
    known: RefCell<BTreeSet<String>>,
}

impl<'a> Section<'a> {
    pub(crate) fn new(document: &'a Document, name: &str) -> Self {
        Self {
            document,
            name: name.to_owned(),
            known: RefCell::default(),
        }
    }

    /// Returns the section's name as written in the file.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns true if the key is set in the file.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.text(key).is_some()
    }

    /// Returns the value of an optional key; reports an invalid value.
    pub fn optional<T>(&self, key: &str, allowed: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.refuse(key, text, &error.to_string(), allowed);
                None
            }
        }
    }

    /// Returns the value of a required key; reports a missing key or an invalid value.
    pub fn required<T>(&self, key: &str, allowed: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.text(key).is_none() {
            self.report(key, Fault::Missing(allowed.to_owned()));
            return None;
        }
        self.optional(key, allowed)
    }

    /// Returns the value of a key, or `default` if it is absent or invalid.
    pub fn or<T>(&self, key: &str, default: T, allowed: &str) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(key, allowed).unwrap_or(default)
    }

    /// Returns the value of a key, or `default` if it is absent, invalid or out of `range`.
    pub fn ranged<T>(&self, key: &str, default: T, range: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + Display + Clone,
        T::Err: Display,
    {
        let allowed = format!("from {} to {}", range.start(), range.end());
        let Some(value) = self.optional::<T>(key, &allowed) else {
            return default;
        };
        if range.contains(&value) {
            return value;
        }
        self.refuse(key, &value.to_string(), "out of range", &allowed);
        default
    }

    /// Returns the valid items of a comma-separated list, none if the key is absent.
    pub fn list<T>(&self, key: &str, allowed: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.text(key) else {
            return Vec::new();
        };
        let mut items = Vec::new();
        for part in text.split(LIST_SEPARATOR).map(str::trim) {
            match part.parse() {
                Ok(item) => items.push(item),
                Err(error) => self.refuse(key, part, &format!("{error}"), allowed),
            }
        }
        items
    }

    /// Reports that the value of `key` is rejected.
    pub fn refuse(&self, key: &str, value: &str, reason: &str, allowed: &str) {
        let fault = Fault::Value {
            value: value.to_owned(),
            reason: reason.to_owned(),
            allowed: allowed.to_owned(),
        };
        self.report(key, fault);
    }

    /// Reports a mistake at `key`.
    pub fn report(&self, key: &str, fault: Fault) {
        self.document.report(&self.name, Some(key), fault);
    }

    fn text(&self, key: &str) -> Option<&'a str> {
        self.known.borrow_mut().insert(key.to_owned());
        self.document
            .ini
            .section(Some(self.name.as_str()))?
            .get(key)
    }
}

impl Drop for Section<'_> {
    fn drop(&mut self) {
        let known = self.known.borrow();
        let allowed: Vec<&str> = known.iter().map(String::as_str).collect();
        let allowed = allowed.join(", ");
        let Some(properties) = self.document.ini.section(Some(self.name.as_str())) else {
            return;
        };
        for (key, _) in properties {
            if !known.contains(key) {
                self.report(key, Fault::UnknownKey(allowed.clone()));
            }
        }
    }
}
