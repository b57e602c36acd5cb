//! Converts answers to HTTP responses.

use http::StatusCode;
use sailtrack_net::http::Response;
use sailtrack_wire::{Outcome, Reason};

use crate::call::{Answer, outcome_word, reason_word};
use crate::header;

/// Returns the response for a client or the own upstream.
pub(crate) fn response(answer: &Answer) -> Response {
    let mut response = match answer.outcome {
        Outcome::Done => done(answer),
        Outcome::NotRun => refusal(StatusCode::SERVICE_UNAVAILABLE, answer),
        Outcome::Unknown => refusal(StatusCode::GATEWAY_TIMEOUT, answer),
    };
    response = response.with(header::OUTCOME, outcome_word(answer.outcome));
    if answer.reason != Reason::None {
        response = response.with(header::REASON, reason_word(answer.reason));
    }
    if !answer.retry_after.is_zero() {
        let millis = answer.retry_after.as_millis();
        response = response
            .with(header::RETRY_AFTER_MS, &millis.to_string())
            .with(header::RETRY_AFTER, &millis.div_ceil(1000).to_string());
    }
    response
}

fn done(answer: &Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let response = Response::new(status, answer.body.clone());
    if answer.content_type.is_empty() {
        return response;
    }
    response.with("content-type", &answer.content_type)
}

fn refusal(status: StatusCode, answer: &Answer) -> Response {
    let outcome = outcome_word(answer.outcome);
    let reason = reason_word(answer.reason);
    Response::text(status, format!("{outcome}: {reason}\n"))
}

/// Returns a response that reports that nothing was executed, and why.
pub(crate) fn not_run(status: StatusCode, text: &str) -> Response {
    Response::text(status, format!("not-run: {text}\n")).with(header::OUTCOME, "not-run")
}
