//! Tells when a file that is looked at from time to time has a new text.

/// The text of a file as it was taken in last, and as it was seen since.
#[derive(Debug, Default)]
pub(super) struct Watcher {
    taken: Option<String>,
    seen: Option<String>,
}

impl Watcher {
    /// Returns the text if it is a new one that is to be taken in.
    ///
    /// Unasked it is taken in at the second look that finds it: at the first one it may be half
    /// written.
    pub(super) fn look(&mut self, text: String, is_asked: bool) -> Option<String> {
        if self.taken.as_ref() == Some(&text) {
            self.seen = None;
            return None;
        }
        if !is_asked && self.seen.as_ref() != Some(&text) {
            self.seen = Some(text);
            return None;
        }
        self.seen = None;
        self.taken = Some(text.clone());
        Some(text)
    }
}
