//! Tests of the dispatcher against its own state.

use super::request_table::InFlightAttempt;
use super::{Dispatcher, DispatcherHandles};
use crate::clock::Clock;
use crate::config::Settings;
use crate::messages::{DispatcherMessage, FinalAnswer, ReceivedRequest};
use crate::upstream::{ConnectionPool, UpstreamRequest, UpstreamResult};
use bytes::Bytes;
use hyper::Response;
use load_balancer::{AttemptNumber, BackendId, ClassId, Config, Event, Micros, Outcome, RequestId, Time};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

const SECOND: Micros = Micros(1_000_000);

fn settings() -> Settings {
    Settings {
        version: 1,
        module: Config::example(),
        names: Default::default(),
        open_cap: 8,
        conn_idle: SECOND,
        dial_timeout: SECOND,
        stop_sending: SECOND,
        longest: SECOND,
    }
}

/// The balancer may ask for a hedged request in the very tick in which the answer came: that attempt is the
/// second.
#[tokio::test]
async fn an_attempt_after_the_answer_ends_under_its_own_number() {
    let clock = Clock::new();
    let (inputs, _messages) = mpsc::unbounded_channel();
    let pool = Rc::new(ConnectionPool::new(clock, SECOND, SECOND, 8));
    let handles = DispatcherHandles { pool, inputs, follow: Rc::default(), status: Rc::default() };
    let mut dispatcher = Dispatcher::new(Arc::new(settings()), 1, handles).expect("sound");
    let id = RequestId(1);
    let (reply, mut answer) = oneshot::channel();
    let upstream_request = UpstreamRequest::new(hyper::Request::new(()), Bytes::new(), Micros(0));
    dispatcher.handle_message(DispatcherMessage::RequestReceived(ReceivedRequest {
        id,
        class: ClassId(0),
        tenant: None,
        deadline: clock.now() + SECOND,
        expected_work: None,
        is_client_retry: false,
        upstream_request: Rc::new(upstream_request),
        answer: reply,
    }));
    let sent_at = clock.now();
    let task = tokio::spawn(std::future::pending::<()>()).abort_handle();
    let request = dispatcher.requests.get_mut(id).expect("open");
    request.attempts.insert(AttemptNumber(0), InFlightAttempt { sent_at, task });
    request.dispatched = 1;
    let result = UpstreamResult { outcome: Outcome::Success, response: Some(Response::new(Bytes::new())) };
    dispatcher.handle_message(DispatcherMessage::AttemptEnded {
        request: id,
        attempt: AttemptNumber(0),
        result,
    });
    assert!(matches!(answer.try_recv(), Ok(FinalAnswer::Served(_))), "at once");
    dispatcher.dispatch(clock.now(), id, BackendId(7), None);
    let Some(Event::AttemptEnded(end)) = dispatcher.events.last() else { panic!("an outcome") };
    let expected = (AttemptNumber(1), Outcome::NotSent, true);
    assert_eq!((end.attempt, end.outcome, end.answered), expected);
    dispatcher.requests.remove_finished(&mut dispatcher.deadlines);
    assert_eq!(dispatcher.requests.len(), 0, "no request is left");
    assert_eq!(dispatcher.deadlines.next(), Time::NEVER, "no deadline is left");
}
