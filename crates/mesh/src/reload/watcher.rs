//! Decides when the new text of a polled file is applied.

/// The text of a file that was applied last, and a newer one that was read once.
#[derive(Debug, Default)]
pub(super) struct Watcher {
    applied: Option<String>,
    candidate: Option<String>,
}

impl Watcher {
    /// Returns the text if it is new and to be applied.
    ///
    /// Unless the reading was requested, a new text is applied when two readings in a row return
    /// it, since the first may see a file that is still being written.
    pub(super) fn observe(&mut self, text: String, is_requested: bool) -> Option<String> {
        if self.applied.as_ref() == Some(&text) {
            self.candidate = None;
            return None;
        }
        if !is_requested && self.candidate.as_ref() != Some(&text) {
            self.candidate = Some(text);
            return None;
        }
        self.candidate = None;
        self.applied = Some(text.clone());
        Some(text)
    }
}
