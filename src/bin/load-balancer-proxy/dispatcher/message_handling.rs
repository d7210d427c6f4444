//! Handling of messages. The balancer receives them as events in its next tick. A backend's successful
//! response is sent to the client immediately.

use super::deadlines::Deadline;
use super::request_table::OpenRequest;
use super::Dispatcher;
use crate::messages::{DispatcherMessage, FinalResponse, ReceivedRequest, SettingsReplacement};
use crate::upstream::UpstreamResult;
use load_balancer::wire::endpoint_list::Endpoint;
use load_balancer::{AttemptNumber, EndpointListUpdate, Event, RequestArrival, RequestId, Time};
use std::collections::HashMap;

impl Dispatcher {
    /// Applies a message to the requests and backends and queues the corresponding event for the balancer.
    pub(super) fn handle_message(&mut self, message: DispatcherMessage) {
        match message {
            DispatcherMessage::RequestReceived(received) => self.request_received(received),
            DispatcherMessage::ClientDisconnected(request) => self.client_disconnected(request),
            DispatcherMessage::AttemptEnded { request, attempt, result } => {
                self.end_attempt(self.clock.now(), request, attempt, result);
            }
            DispatcherMessage::EndpointList { update, endpoints } => {
                self.endpoint_list_received(update, endpoints);
            }
            DispatcherMessage::SettingsReplaced(replacement) => self.settings_replaced(replacement),
            DispatcherMessage::ShutdownStarted { deadline } => self.shutdown_started(deadline),
        }
    }

    fn request_received(&mut self, received: ReceivedRequest) {
        if self.requests.len() >= self.settings.max_open_requests {
            // Rejected without involving the balancer.
            let retry_after = self.balancer.retry_after();
            let _ = received.response_sender.send(FinalResponse::Rejected { retry_after });
            return;
        }
        let deadline = self.deadlines.limit(received.deadline);
        self.events.push(Event::RequestArrived(RequestArrival {
            request: received.id,
            class: received.class,
            tenant: received.tenant,
            time_left: deadline - self.clock.now(),
            expected_work: received.expected_work,
            is_client_retry: received.is_client_retry,
        }));
        self.deadlines.insert(Deadline { at: deadline, request: received.id });
        self.requests.insert(OpenRequest {
            id: received.id,
            deadline,
            upstream_request: received.upstream_request,
            response_sender: Some(received.response_sender),
            attempts: HashMap::new(),
            dispatch_count: 0,
        });
    }

    fn client_disconnected(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.take_response_sender().is_some() {
            self.events.push(Event::ClientDisconnected { request: id });
            self.requests.mark_if_finished(id);
        }
    }

    /// Ends an attempt in flight and forwards its response, if any, to the client. Does nothing if the
    /// attempt has already ended, so that each attempt has exactly one outcome.
    pub(super) fn end_attempt(
        &mut self, now: Time, id: RequestId, number: AttemptNumber, result: UpstreamResult,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(attempt) = request.attempts.remove(&number) else { return };
        attempt.task.abort();
        if let Some(response) = result.response {
            request.answer(FinalResponse::Served(response));
        }
        let ended = request.attempt_ended(number, result.outcome, now - attempt.sent_at);
        self.events.push(ended);
        self.requests.mark_if_finished(id);
    }

    fn endpoint_list_received(&mut self, update: EndpointListUpdate, endpoints: Vec<Endpoint>) {
        let backends = self.backends.apply(update, endpoints);
        self.status.is_serving.set(self.backends.has_ready());
        self.events.push(Event::EndpointListChanged { update, backends });
    }

    /// Replaces the settings. The event is queued after those of earlier requests, whose class and tenant ids
    /// refer to the replaced settings.
    fn settings_replaced(&mut self, replacement: SettingsReplacement) {
        let SettingsReplacement { settings, update, replaced_settings_sender } = replacement;
        self.pool.set_timeouts(settings.connect_timeout, settings.backend_idle_timeout);
        let replaced = std::mem::replace(&mut self.settings, settings);
        let _ = replaced_settings_sender.send(replaced);
        self.events.push(Event::ConfigReplaced(update));
    }

    fn shutdown_started(&mut self, deadline: Time) {
        self.shorten_deadlines(deadline);
        self.events.push(Event::ShutdownStarted { deadline });
    }
}
