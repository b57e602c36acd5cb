//! Tells the sender of a request that its answer takes longer than usual.
//!
//! The request may be lost or only slow, which cannot be told apart from outside. So it goes on, and
//! its sender may try another upstream meanwhile.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use futures::channel::oneshot;

use crate::request::Response;

/// Raised by whoever waits for the answer. Without a [`Notice`] nobody hears of it.
#[derive(Clone, Default)]
pub(crate) struct Signal(Rc<RefCell<Option<oneshot::Sender<Response>>>>);

/// Resolves once the signal has been raised.
pub(crate) struct Notice(oneshot::Receiver<Response>);

/// Returns a signal and the notice that it raises.
pub(crate) fn channel() -> (Signal, Notice) {
    let (sender, receiver) = oneshot::channel();
    let signal = Signal(Rc::new(RefCell::new(Some(sender))));
    (signal, Notice(receiver))
}

impl Signal {
    /// Says that the answer is overdue, with what the request would end with if it were given up.
    pub(crate) fn raise(&self, response: Response) {
        if let Some(sender) = self.0.borrow_mut().take() {
            // The sender of the request may have stopped waiting.
            let _ = sender.send(response);
        }
    }
}

impl fmt::Debug for Signal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_raised = self.0.borrow().is_none();
        f.debug_tuple("Signal").field(&is_raised).finish()
    }
}

impl Notice {
    /// Waits until the signal is raised; never returns if that does not happen.
    pub(crate) async fn wait(self) -> Response {
        match self.0.await {
            Ok(response) => response,
            Err(oneshot::Canceled) => std::future::pending().await,
        }
    }
}
