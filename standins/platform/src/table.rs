//! Rows with versions.

use std::collections::BTreeMap;

use serde::Serialize;

/// One row.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub(crate) key: String,
    pub(crate) version: u64,
    pub(crate) value: String,
}

/// The table, in memory.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<String, Row>,
}

impl Table {
    /// Returns the row with this key.
    pub(crate) fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Returns at most `limit` rows whose keys start with `prefix`, from the key `from` on.
    pub(crate) fn scan(&self, prefix: &str, from: &str, limit: usize) -> Vec<&Row> {
        let from = self.rows.range(from.to_owned()..);
        let rows = from.take_while(|(key, _)| key.starts_with(prefix));
        rows.map(|(_, row)| row).take(limit).collect()
    }

    /// Writes a row if its version is the expected one; returns what stands there otherwise.
    ///
    /// An expected version of zero means that the row must not exist.
    pub(crate) fn put(
        &mut self,
        key: &str,
        expected: Option<u64>,
        value: String,
    ) -> Result<Row, Row> {
        let present = self.rows.get(key);
        let version = present.map_or(0, |row| row.version);
        if expected.is_some_and(|expected| expected != version) {
            let absent = Row {
                key: key.to_owned(),
                version: 0,
                value: String::new(),
            };
            return Err(present.cloned().unwrap_or(absent));
        }
        let row = Row {
            key: key.to_owned(),
            version: version + 1,
            value,
        };
        self.rows.insert(key.to_owned(), row.clone());
        Ok(row)
    }

    /// Removes a row; returns true if it was there.
    pub(crate) fn remove(&mut self, key: &str) -> bool {
        self.rows.remove(key).is_some()
    }
}
