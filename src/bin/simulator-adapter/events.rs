//! Translates the messages that an instance receives into events for its balancer.

use crate::endpoint_lists::EndpointLists;
use crate::error::ProtocolError;
use crate::messages::{Message, MessageKind};
use load_balancer::wire::names::Names;
use load_balancer::{AttemptResult, EndpointListUpdate, Event, Micros, RequestArrival, TimerToken};
use serde_json::Value;

/// Flag of a request: the client states the expected work.
const FLAG_EXPECTED_WORK: u64 = 1;
/// Flag of a request: the client is retrying it.
const FLAG_CLIENT_RETRY: u64 = 2;

/// Translates a message into an event; returns `None` for a message that is not meant for a balancer.
pub fn decode(
    message: &Message, names: &Names, endpoint_lists: &EndpointLists,
) -> Result<Option<Event>, ProtocolError> {
    match message.kind {
        MessageKind::EndpointListChanged => endpoint_list_changed(message, endpoint_lists).map(Some),
        MessageKind::RequestArrived => request_arrived(message, names).map(Some),
        MessageKind::ResponseStarted => response_started(message).map(Some),
        MessageKind::AttemptEnded => attempt_ended(message).map(Some),
        MessageKind::ClientDisconnected => {
            let [_, request] = message.fields();
            Ok(Some(Event::ClientDisconnected { request: request.request()? }))
        }
        MessageKind::TimerFired => {
            let [_, token] = message.fields();
            Ok(Some(Event::TimerFired { token: TimerToken(token.unsigned_integer("a timer token")?) }))
        }
        MessageKind::BatchStarted
        | MessageKind::BatchEnded
        | MessageKind::ListEntries
        | MessageKind::InstanceCreated
        | MessageKind::InstanceKilled
        | MessageKind::PeerMessage
        | MessageKind::ProbeAnswered => Ok(None),
    }
}

fn endpoint_list_changed(message: &Message, endpoint_lists: &EndpointLists) -> Result<Event, ProtocolError> {
    let [_, list_number, _, update] = message.fields();
    let update = match update.string("a kind of list update")? {
        "incr" => EndpointListUpdate::Delta,
        "total" => EndpointListUpdate::Snapshot,
        "warm_copy" => EndpointListUpdate::Cached,
        "lost" => EndpointListUpdate::SubscriptionLost,
        _ => return Err(update.unexpected("incr, total, warm_copy or lost")),
    };
    let backends = if update == EndpointListUpdate::SubscriptionLost {
        Vec::new()
    } else {
        let list = endpoint_lists.list(list_number.unsigned_integer("an endpoint list number")?);
        list.ok_or_else(|| list_number.unexpected("a known endpoint list number"))?.to_vec()
    };
    Ok(Event::EndpointListChanged { update, backends })
}

fn request_arrived(message: &Message, names: &Names) -> Result<Event, ProtocolError> {
    let [_, request, expected_work, time_left, _, tenant, flags, class] = message.fields();
    let flags = flags.value.as_u64().unwrap_or(0);
    let has_expected_work = flags & FLAG_EXPECTED_WORK != 0;
    Ok(Event::RequestArrived(RequestArrival {
        request: request.request()?,
        expected_work: expected_work.value.as_u64().filter(|_| has_expected_work).map(Micros),
        is_client_retry: flags & FLAG_CLIENT_RETRY != 0,
        time_left: time_left.micros("the time left in microseconds")?,
        tenant: match tenant.value {
            Value::String(name) => {
                Some(names.tenant(name).ok_or_else(|| tenant.unexpected("a known tenant"))?)
            }
            _ => None,
        },
        class: names.class(class.string("a class name")?).ok_or_else(|| class.unexpected("a known class"))?,
    }))
}

fn response_started(message: &Message) -> Result<Event, ProtocolError> {
    let [_, request, attempt, _, _] = message.fields();
    Ok(Event::ResponseStarted { request: request.request()?, attempt: attempt.attempt()? })
}

fn attempt_ended(message: &Message) -> Result<Event, ProtocolError> {
    let [_, request, attempt, backend, outcome, latency, final_response_sent, _] = message.fields();
    backend.string("a backend address")?;
    Ok(Event::AttemptEnded(AttemptResult {
        request: request.request()?,
        attempt: attempt.attempt()?,
        outcome: outcome.outcome()?,
        latency: latency.micros("a latency in microseconds")?,
        final_response_sent: final_response_sent.boolean("true or false")?,
    }))
}
