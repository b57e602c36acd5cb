//! Error responses, and tables as answers to queries.

use displaydoc::Display;
use http::StatusCode;
use sailtrack_language::SyntaxError;
use sailtrack_net::http::Response;
use sailtrack_settings::Problems;
use serde_json::json;

use crate::header;
use crate::operator::json;

/// Why a command was not carried out.
#[derive(Debug, Display)]
pub(crate) enum Refusal {
    /// the command is not UTF-8 text
    NotText,
    /// {0}
    Syntax(SyntaxError),
    /// the declaration is not sound:
    /// {0}
    Declaration(Problems),
    /// the header sailtrack-operator must name the operator
    NoOperator,
    /// the header sailtrack-command must give the command an id
    NoCommandId,
    /// the header sailtrack-base must be a version number
    Base,
    /// there is no {what} called {name}
    Missing {
        /// The sort of item looked up.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// {0} is alive and knows the outcome: ask again with the ticket
    HomeAlive(String),
    /// the command changes nothing
    NoChange,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Returns the error response.
    pub(crate) fn response(&self) -> Response {
        let column = match self {
            Self::Syntax(error) => Some(error.column),
            _ => None,
        };
        let body = json!({"error": self.to_string(), "column": column});
        json(StatusCode::BAD_REQUEST, &body).with(header::OUTCOME, "not-run")
    }
}

/// Rows under named columns, with notes about possibly missing data.
#[derive(Debug, Default)]
pub(crate) struct Listing {
    pub(crate) columns: Vec<String>,
    pub(crate) rows: Vec<Vec<String>>,
    pub(crate) notes: Vec<String>,
}

impl Listing {
    /// Returns the rows as a JSON response.
    pub(crate) fn response(&self) -> Response {
        let body = json!({"columns": self.columns, "rows": self.rows, "notes": self.notes});
        json(StatusCode::OK, &body)
    }
}
