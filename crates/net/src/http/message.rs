//! Complete requests and responses, with their bodies in memory.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

/// A complete request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers, without those for the message framing.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns a request without headers.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Returns the value of a header, if it is present and consists of visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the request with a header set; a value that is not a valid header value is ignored.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        set(&mut self.headers, name, value);
        self
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status.
    pub status: StatusCode,
    /// The headers, without those for the message framing.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Returns a response without headers.
    #[must_use]
    pub fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: body.into(),
        }
    }

    /// Returns a response with a JSON body.
    #[must_use]
    pub fn json(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::new(status, body).with(CONTENT_TYPE.as_str(), "application/json")
    }

    /// Returns a response with a plain text body.
    #[must_use]
    pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self::new(status, body).with(CONTENT_TYPE.as_str(), "text/plain; charset=utf-8")
    }

    /// Returns the value of a header, if it is present and consists of visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the response with a header set; an invalid name or value is ignored.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        set(&mut self.headers, name, value);
        self
    }
}

fn set(headers: &mut HeaderMap, name: &str, value: &str) {
    let name = HeaderName::try_from(name);
    let value = HeaderValue::from_str(value);
    if let (Ok(name), Ok(value)) = (name, value) {
        headers.insert(name, value);
    }
}
