//! The ports of the node.

mod client;
mod incoming;
mod local;
mod operator;
mod reply;

pub(crate) use client::ClientPort;
pub(crate) use local::LocalPort;
pub(crate) use operator::OperatorPort;
