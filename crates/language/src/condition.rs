//! Predicates of the `where` clause of a query.

use std::cmp::Ordering;
use std::fmt;

/// How a field is compared with a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<=`
    AtMost,
    /// `>=`
    AtLeast,
    /// `<`
    Below,
    /// `>`
    Above,
}

impl Comparison {
    /// Returns the operator as it is written in a query.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Equal => "=",
            Self::NotEqual => "!=",
            Self::AtMost => "<=",
            Self::AtLeast => ">=",
            Self::Below => "<",
            Self::Above => ">",
        }
    }

    fn accepts(self, order: Ordering) -> bool {
        match self {
            Self::Equal => order == Ordering::Equal,
            Self::NotEqual => order != Ordering::Equal,
            Self::AtMost => order != Ordering::Greater,
            Self::AtLeast => order != Ordering::Less,
            Self::Below => order == Ordering::Less,
            Self::Above => order == Ordering::Greater,
        }
    }
}

/// A predicate that compares a field of a row with a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The field's name.
    pub field: String,
    /// The comparison operator.
    pub comparison: Comparison,
    /// The value that the field is compared with.
    pub value: String,
}

impl Condition {
    /// Returns true if a field with this text meets the condition.
    ///
    /// Compares numerically if both sides are numbers, otherwise as text.
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        let order = match (text.parse::<f64>(), self.value.parse::<f64>()) {
            (Ok(left), Ok(right)) => left.total_cmp(&right),
            _ => text.cmp(&self.value),
        };
        self.comparison.accepts(order)
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = self.comparison.as_str();
        write!(f, "{} {sign} {}", self.field, quote(&self.value))
    }
}

/// Returns a value in the syntax of a query, quoted if it is empty or has other characters
/// than a bare word may have.
fn quote(value: &str) -> String {
    let is_bare = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if !value.is_empty() && value.chars().all(is_bare) {
        return value.to_owned();
    }
    format!("\"{value}\"")
}
