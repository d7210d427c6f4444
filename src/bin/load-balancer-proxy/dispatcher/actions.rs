//! Execution of the balancer's actions.

use super::attempt_report::AttemptReport;
use super::request_table::AttemptTask;
use super::{log, Dispatcher};
use crate::messages::FinalResponse;
use crate::upstream::AttemptLimits;
use load_balancer::{Action, BackendId, Micros, Outcome, RequestId, Time};

impl Dispatcher {
    /// Executes one action that the balancer returned in the tick at `now`.
    pub(super) fn execute(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend, write_by } => self.dispatch(now, request, backend, write_by),
            Action::Reject { request } => {
                let retry_after = self.balancer.retry_after();
                self.answer(request, FinalResponse::Rejected { retry_after });
            }
            Action::Fail { request } => self.answer(request, FinalResponse::Failed),
            Action::CancelAttempt { request, attempt } => {
                self.end_attempt(now, request, attempt, Outcome::Cancelled.into());
            }
            Action::SetTimer { token, delay } => self.timers.set(now + delay, token),
            Action::Resubscribe => self.resubscribe.notify_one(),
            Action::Log(event) => log::balancer_event(&event),
        }
    }

    /// Sends the final response to a request's client if the request is still pending.
    pub(super) fn answer(&mut self, id: RequestId, response: FinalResponse) {
        if let Some(request) = self.requests.get_mut(id) {
            request.answer(response);
        }
        self.requests.mark_if_finished(id);
    }

    /// Starts an attempt. The attempt ends immediately with [`Outcome::NotSent`] if the request is answered
    /// or past its deadline, or if the backend has been removed from the endpoint list.
    pub(super) fn dispatch(&mut self, now: Time, id: RequestId, backend: BackendId, write_by: Option<Time>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let number = request.next_attempt();
        let may_send = !request.is_answered() && request.deadline > now;
        let Some(upstream) = self.backends.get(backend).filter(|_| may_send).cloned() else {
            self.events.push(request.attempt_ended(number, Outcome::NotSent, Micros(0)));
            return;
        };
        log::attempt_dispatched(&request.upstream_request, id, number, &upstream);
        let deadline = request.deadline;
        let write_by = write_by.map_or(deadline, |write_by| write_by.min(deadline));
        let limits = AttemptLimits { write_by, deadline };
        let report = AttemptReport::new(self.messages.clone(), id, number);
        let pool = self.pool.clone();
        let upstream_request = request.upstream_request.clone();
        let task = tokio::task::spawn_local(async move {
            let result = pool.attempt(&upstream, &upstream_request, limits).await;
            report.send(result);
        });
        request.attempts.insert(number, AttemptTask { sent_at: now, task: task.abort_handle() });
    }
}
