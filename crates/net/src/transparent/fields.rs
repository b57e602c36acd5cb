//! Header fields that keep their order and case.

use bytes::{Bytes, BytesMut};

/// Hop-by-hop fields, which apply to one connection and are never forwarded.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// The name as received.
    pub name: Bytes,
    /// The value without surrounding white space.
    pub value: Bytes,
}

impl Field {
    /// Returns true if the field has this name, ignoring case.
    #[must_use]
    pub fn is(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name.as_bytes())
    }
}

/// The fields of a header section, in their original order and case.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields(pub(super) Vec<Field>);

impl Fields {
    /// Returns the value of the first field with this name, if it is valid UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self.0.iter().find(|field| field.is(name))?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Returns the values of all fields with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        let named = self.0.iter().filter(move |field| field.is(name));
        named.map(|field| &field.value)
    }

    /// Returns true if a field with this name lists `token`, ignoring case.
    #[must_use]
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| has_token(value, token))
    }

    /// Appends the end-to-end fields to `head`, one a line.
    ///
    /// Skips hop-by-hop fields, `Content-Length`, since the sender frames the body anew, and the
    /// fields for which `replaced` returns true, since the caller sets them itself.
    pub fn append_end_to_end(&self, head: &mut BytesMut, replaced: impl Fn(&Field) -> bool) {
        for field in &self.0 {
            if self.is_hop_by_hop(field) || field.is("content-length") || replaced(field) {
                continue;
            }
            append(head, &field.name, &field.value);
        }
    }

    fn is_hop_by_hop(&self, field: &Field) -> bool {
        if HOP_BY_HOP.iter().any(|name| field.is(name)) {
            return true;
        }
        self.all("connection").any(|value| {
            let name = std::str::from_utf8(&field.name).unwrap_or_default();
            has_token(value, name)
        })
    }
}

/// Appends one field line to a head.
pub(crate) fn append(head: &mut BytesMut, name: &[u8], value: &[u8]) {
    head.extend_from_slice(name);
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}

/// Returns true if a comma-separated value lists `token`, ignoring case.
fn has_token(value: &[u8], token: &str) -> bool {
    let mut members = value.split(|byte| *byte == b',');
    members.any(|member| member.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}
