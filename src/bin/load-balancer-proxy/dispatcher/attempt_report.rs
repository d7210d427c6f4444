//! The report of an attempt's end, which is sent however its task ends.

use crate::messages::DispatcherMessage;
use crate::upstream::UpstreamResult;
use load_balancer::{AttemptNumber, Outcome, RequestId};
use tokio::sync::mpsc;

/// Reports the end of one attempt. Dropped unsent it reports a reset connection, for the attempt may have
/// been executed: so after a panic of its task. An attempt that the dispatcher itself has ended drops its
/// report too; the dispatcher has forgotten the attempt by then and ignores the message.
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
