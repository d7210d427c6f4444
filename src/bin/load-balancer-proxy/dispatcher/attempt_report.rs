//! Reports the end of an attempt to the dispatcher, even if the attempt's task panics.

use crate::messages::DispatcherMessage;
use crate::upstream::UpstreamResult;
use load_balancer::{AttemptNumber, Outcome, RequestId};
use tokio::sync::mpsc;

/// Reports the end of one attempt to the dispatcher.
///
/// If it is dropped without being sent, for example because the attempt's task panicked, it reports
/// [`Outcome::ConnectionReset`], since the backend may have executed the request. Aborting the task of an
/// attempt that the dispatcher has ended also drops its report; the dispatcher ignores that message because
/// it no longer tracks the attempt.
pub(super) struct AttemptReport {
    messages: mpsc::UnboundedSender<DispatcherMessage>,
    request: RequestId,
    attempt: AttemptNumber,
    is_sent: bool,
}

impl AttemptReport {
    /// Creates the report of an attempt in flight, to be sent over `messages`.
    pub fn new(
        messages: mpsc::UnboundedSender<DispatcherMessage>, request: RequestId, attempt: AttemptNumber,
    ) -> AttemptReport {
        AttemptReport { messages, request, attempt, is_sent: false }
    }

    /// Sends the result of the attempt to the dispatcher.
    pub fn send(mut self, result: UpstreamResult) {
        self.send_result(result);
    }

    fn send_result(&mut self, result: UpstreamResult) {
        self.is_sent = true;
        let _ = self.messages.send(DispatcherMessage::AttemptEnded {
            request: self.request,
            attempt: self.attempt,
            result,
        });
    }
}

impl Drop for AttemptReport {
    fn drop(&mut self) {
        if !self.is_sent {
            self.send_result(Outcome::ConnectionReset.into());
        }
    }
}
