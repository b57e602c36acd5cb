//! Short blocking requests to the processes of a run.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::error::RigError;

/// How long one request may take.
const REQUEST_TIME: Duration = Duration::from_secs(15);

/// What came back.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: String,
}

impl Reply {
    /// Returns the text of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> Result<Value, RigError> {
        serde_json::from_str(&self.body).map_err(|_| RigError::Output(self.body.clone()))
    }
}

/// Sends one request from whatever address the system chooses.
pub fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Reply, RigError> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(REQUEST_TIME))
        .http_status_as_error(false)
        .build()
        .into();
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let failed = |error: String| RigError::Http(format!("{method} {address}{path}"), error);
    let request = request
        .body(body.to_owned())
        .map_err(|error| failed(error.to_string()))?;
    let mut response = agent
        .run(request)
        .map_err(|error| failed(error.to_string()))?;
    let headers = response.headers().iter();
    let headers = headers.map(|(name, value)| {
        let value = value.to_str().unwrap_or_default();
        (name.to_string(), value.to_owned())
    });
    Ok(Reply {
        status: response.status().as_u16(),
        headers: headers.collect(),
        body: response
            .body_mut()
            .read_to_string()
            .map_err(|error| failed(error.to_string()))?,
    })
}
