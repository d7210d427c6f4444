//! The report of an attempt's end, which is sent however its task ends.

use crate::messages::DispatcherMessage;
use crate::upstream::UpstreamResult;
use load_balancer::{AttemptNumber, Outcome, RequestId};
use tokio::sync::mpsc;

/// Reports the end of one attempt. Dropped unsent, by a panic of the attempt's task, it reports a reset
/// connection: the attempt may have been executed.
pub(super) struct AttemptReport {
    messages: mpsc::UnboundedSender<DispatcherMessage>,
    request: RequestId,
    attempt: AttemptNumber,
    is_sent: bool,
}

impl AttemptReport {
    /// A report to be sent over `messages`.
    pub fn new(
        messages: mpsc::UnboundedSender<DispatcherMessage>, request: RequestId, attempt: AttemptNumber,
    ) -> AttemptReport {
        AttemptReport { messages, request, attempt, is_sent: false }
    }

    /// Reports how the attempt ended.
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
