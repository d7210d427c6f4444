//! Unit tests that inspect the dispatcher's internal state.

use super::attempt_report::AttemptReport;
use super::request_table::AttemptTask;
use super::{Dispatcher, DispatcherHandles};
use crate::clock::Clock;
use crate::config::Settings;
use crate::headers::MAX_BODY_BYTES;
use crate::memory::BodyBudget;
use crate::messages::{DispatcherMessage, FinalResponse, ReceivedRequest};
use crate::upstream::{ConnectionPool, ConnectionPoolSettings, UpstreamRequest, UpstreamResult};
use bytes::Bytes;
use hyper::Response;
use load_balancer::wire::endpoint_list::Endpoint;
use load_balancer::{
    AttemptNumber, Backend, BackendId, BackendState, ClassId, Config, EndpointListUpdate, Event, Micros,
    Outcome, RequestId, Time,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

const SECOND: Micros = Micros(1_000_000);

fn settings() -> Settings {
    Settings {
        version: 1,
        balancer: Config::example(),
        names: Default::default(),
        max_open_requests: 8,
        backend_idle_timeout: SECOND,
        connect_timeout: SECOND,
        drain_notice_limit: SECOND,
        longest_deadline: SECOND,
    }
}

fn dispatcher(clock: Clock) -> Dispatcher {
    let (messages, _received) = mpsc::unbounded_channel();
    let pool = Rc::new(ConnectionPool::new(ConnectionPoolSettings {
        clock,
        connect_timeout: SECOND,
        backend_idle_timeout: SECOND,
        max_sockets: 8,
        response_bodies: BodyBudget::new(MAX_BODY_BYTES),
    }));
    let handles = DispatcherHandles { pool, messages, resubscribe: Rc::default(), status: Rc::default() };
    Dispatcher::new(Arc::new(settings()), 1, handles).expect("valid configuration")
}

/// Passes a request to the dispatcher and returns the receiver of its final response.
fn receive(dispatcher: &mut Dispatcher, id: RequestId, deadline: Time) -> oneshot::Receiver<FinalResponse> {
    let (sender, response) = oneshot::channel();
    let upstream_request = UpstreamRequest::new(hyper::Request::new(()), Bytes::new(), Micros(0));
    dispatcher.handle_message(DispatcherMessage::RequestReceived(ReceivedRequest {
        id,
        class: ClassId(0),
        tenant: None,
        deadline,
        expected_work: None,
        is_client_retry: false,
        upstream_request: Rc::new(upstream_request),
        response_sender: sender,
    }));
    response
}

fn endpoint(id: BackendId, state: BackendState) -> Endpoint {
    Endpoint {
        backend: Backend { id, state, ..Backend::default() },
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

/// Guards against reusing an attempt number when the balancer hedges a request in the tick in which it is
/// answered.
#[tokio::test]
async fn an_attempt_dispatched_after_the_response_ends_with_its_own_number() {
    let clock = Clock::new();
    let mut dispatcher = dispatcher(clock);
    let id = RequestId(1);
    let mut response = receive(&mut dispatcher, id, clock.now() + SECOND);
    let sent_at = clock.now();
    let task = tokio::spawn(std::future::pending::<()>()).abort_handle();
    let request = dispatcher.requests.get_mut(id).expect("open request");
    request.attempts.insert(AttemptNumber(0), AttemptTask { sent_at, task });
    request.dispatch_count = 1;
    let result = UpstreamResult { outcome: Outcome::Success, response: Some(Response::new(Bytes::new())) };
    dispatcher.handle_message(DispatcherMessage::AttemptEnded {
        request: id,
        attempt: AttemptNumber(0),
        result,
    });
    assert!(
        matches!(response.try_recv(), Ok(FinalResponse::Served(_))),
        "the response is forwarded immediately"
    );
    dispatcher.dispatch(clock.now(), id, BackendId(7), None);
    let Some(Event::AttemptEnded(end)) = dispatcher.events.last() else {
        panic!("expected an AttemptEnded event")
    };
    let expected = (AttemptNumber(1), Outcome::NotSent, true);
    assert_eq!((end.attempt, end.outcome, end.final_response_sent), expected);
    dispatcher.requests.remove_finished(&mut dispatcher.deadlines);
    assert_eq!(dispatcher.requests.len(), 0, "all requests are removed");
    assert_eq!(dispatcher.deadlines.next(), Time::NEVER, "all deadlines are removed");
}

/// Guards against losing the outcome of an attempt whose task panics after the request was written.
#[test]
fn an_attempt_report_dropped_unsent_reports_a_connection_reset() {
    let (messages, mut reported) = mpsc::unbounded_channel();
    drop(AttemptReport::new(messages, RequestId(1), AttemptNumber(2)));
    let Ok(DispatcherMessage::AttemptEnded { request, attempt, result }) = reported.try_recv() else {
        panic!("expected an AttemptEnded message");
    };
    assert_eq!((request, attempt), (RequestId(1), AttemptNumber(2)));
    assert_eq!(result.outcome, Outcome::ConnectionReset);
    assert!(result.response.is_none());
    assert!(reported.try_recv().is_err(), "exactly one report");
}

/// Guards against a second report when a report that was sent is dropped.
#[test]
fn an_attempt_report_is_sent_once() {
    let (messages, mut reported) = mpsc::unbounded_channel();
    AttemptReport::new(messages, RequestId(1), AttemptNumber(0)).send(Outcome::Rejected.into());
    let Ok(DispatcherMessage::AttemptEnded { result, .. }) = reported.try_recv() else {
        panic!("expected an AttemptEnded message")
    };
    assert_eq!(result.outcome, Outcome::Rejected);
    assert!(reported.try_recv().is_err(), "exactly one report");
}

/// Guards against failing an overdue request before the balancer's last opportunity to answer it, or never.
#[tokio::test]
async fn an_unanswered_request_is_failed_two_ticks_after_its_deadline() {
    let clock = Clock::new();
    let mut dispatcher = dispatcher(clock);
    let id = RequestId(1);
    let deadline = clock.now() + SECOND;
    let mut response = receive(&mut dispatcher, id, deadline);
    let failed_at = deadline + Micros(2 * dispatcher.settings.balancer.tick.0);
    dispatcher.expire_deadlines(deadline);
    dispatcher.fail_overdue(Time(failed_at.0 - 1));
    assert!(response.try_recv().is_err(), "not failed before the grace period ends");
    dispatcher.fail_overdue(failed_at);
    assert!(matches!(response.try_recv(), Ok(FinalResponse::Failed)));
    assert_eq!(dispatcher.events.last(), Some(&Event::ClientDisconnected { request: id }));
    dispatcher.requests.remove_finished(&mut dispatcher.deadlines);
    assert_eq!(dispatcher.requests.len(), 0, "all requests are removed");
}

/// Guards against a restarted balancer that lacks the endpoint list or receives events of failed requests.
#[tokio::test]
async fn a_restart_of_the_balancer_fails_open_requests_and_keeps_the_endpoint_list() {
    let clock = Clock::new();
    let mut dispatcher = dispatcher(clock);
    let (ready, draining, removed) = (BackendId(1), BackendId(2), BackendId(3));
    dispatcher.handle_message(DispatcherMessage::EndpointList {
        update: EndpointListUpdate::Snapshot,
        endpoints: vec![
            endpoint(ready, BackendState::Ready),
            endpoint(draining, BackendState::Draining),
            endpoint(removed, BackendState::Removed),
        ],
    });
    let mut response = receive(&mut dispatcher, RequestId(1), clock.now() + SECOND);
    dispatcher.restart_balancer();
    assert!(matches!(response.try_recv(), Ok(FinalResponse::Failed)));
    assert_eq!(dispatcher.requests.len(), 0, "all requests are removed");
    assert_eq!(dispatcher.deadlines.next(), Time::NEVER, "all deadlines are removed");
    let [Event::EndpointListChanged { update, backends }] = &mut dispatcher.events[..] else {
        panic!("expected only the endpoint list: {:?}", dispatcher.events);
    };
    backends.sort_by_key(|backend| backend.id);
    let states: Vec<_> = backends.iter().map(|backend| (backend.id, backend.state)).collect();
    assert_eq!(states, [(ready, BackendState::Ready), (draining, BackendState::Draining)]);
    assert_eq!(*update, EndpointListUpdate::Cached);
}
