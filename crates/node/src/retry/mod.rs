//! Limits on retries: a budget for each request and a ratio for each service.

mod budget;
mod limiter;
#[cfg(test)]
mod tests;

pub(crate) use budget::Budget;
pub(crate) use limiter::Limiter;
