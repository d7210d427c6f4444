//! State and timeouts of a client connection, and requests to close it.
//!
//! A connection is idle, receives the head of a request, handles the request (reads its body, then awaits its
//! response), and is idle again. The state is derived from the time of the first byte since the last response
//! and from the flags that the connection's task and request handler set.

use crate::clock::{micros, Clock};
use load_balancer::{Micros, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A connection is closed after this time without input, also between requests, because silent peers would
/// exhaust the file descriptors. The platform lets a proxy close idle connections after 2 s.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Time within which a request must be received completely, counted from the opening of its connection, or
/// from its own first byte if earlier requests on the connection were answered. A peer that never completes a
/// request must get an error within 3 s; the difference allows for a stall of the process.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2750);
/// At capacity, a connection without any input is closed after this time. Clients usually send their request
/// much earlier.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);
/// At capacity, an incomplete request is answered with 408 after this time without further input.
const STALLED_REQUEST_TIMEOUT: Duration = Duration::from_millis(450);

/// A first byte read within this time after the accept may have arrived before the accept.
const MAX_QUEUED_READ_DELAY: Duration = Duration::from_millis(40);
/// Upper bound of the accept delay that is deducted from a request's remaining time.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(300);

/// Times at which a client sent data.
pub struct Activity {
    clock: Clock,
    /// Time of the first byte since the last response.
    first_byte_at: Cell<Option<Time>>,
    last_byte_at: Cell<Option<Time>>,
}

impl Activity {
    /// Creates a record without any reads.
    pub fn new(clock: Clock) -> Activity {
        Activity { clock, first_byte_at: Cell::default(), last_byte_at: Cell::default() }
    }

    /// Records that bytes were read now.
    pub fn record_read(&self) {
        let now = self.clock.now();
        self.first_byte_at.set(self.first_byte_at.get().or(Some(now)));
        self.last_byte_at.set(Some(now));
    }
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseMode {
    /// After the current request, if any, is answered.
    Graceful,
    /// An incomplete request is answered with 408.
    TimeOutRequest,
}

/// When and how a connection is closed unless its state changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloseDeadline {
    /// Time from which the connection is closed.
    pub at: Time,
    /// How the connection is closed.
    pub mode: CloseMode,
}

/// State of a client connection.
pub struct ClientConnection {
    clock: Clock,
    /// Earliest time at which the client may have opened the connection; it was queued from then to
    /// `accepted_at`.
    opened_at: Time,
    accepted_at: Time,
    /// Times at which the client sent data.
    pub activity: Rc<Activity>,
    /// Time of the last response, until the head of the next request is read.
    idle_since: Cell<Option<Time>>,
    /// Whether a request on the connection has been answered.
    has_answered: Cell<bool>,
    /// Whether the head of a request was read and the request is not answered yet.
    is_handling_request: Cell<bool>,
    /// Whether a request was read completely and awaits its response.
    is_awaiting_response: Cell<bool>,
    close_mode: Cell<Option<CloseMode>>,
    /// Notified when the connection is asked to close.
    pub close_requested: Notify,
    /// Notified when a request whose body is being read has to be answered with 408.
    pub request_timed_out: Notify,
    /// Notified when the connection becomes idle and its idle timeout begins.
    pub became_idle: Notify,
}

impl ClientConnection {
    /// Creates the state of a connection that is accepted now, after a wait of up to `accept_delay`.
    pub fn new(clock: Clock, accept_delay: Duration) -> ClientConnection {
        let accepted_at = clock.now();
        ClientConnection {
            clock,
            opened_at: accepted_at.saturating_sub(micros(accept_delay)),
            accepted_at,
            activity: Rc::new(Activity::new(clock)),
            idle_since: Cell::default(),
            has_answered: Cell::default(),
            is_handling_request: Cell::default(),
            is_awaiting_response: Cell::default(),
            close_mode: Cell::default(),
            close_requested: Notify::new(),
            request_timed_out: Notify::new(),
            became_idle: Notify::new(),
        }
    }

    /// Records that the head of a request was read.
    pub fn begin_request(&self) {
        self.is_handling_request.set(true);
        self.idle_since.set(None);
    }

    /// Sets whether a request was read completely and awaits its response.
    pub fn set_awaiting_response(&self, is_awaiting_response: bool) {
        self.is_awaiting_response.set(is_awaiting_response);
    }

    /// Whether a request was read completely and awaits its response.
    pub fn is_awaiting_response(&self) -> bool {
        self.is_awaiting_response.get()
    }

    /// Records that the request was answered.
    pub fn end_request(&self) {
        self.is_handling_request.set(false);
        self.has_answered.set(true);
        self.activity.first_byte_at.set(None);
        self.idle_since.set(Some(self.clock.now()));
        self.became_idle.notify_one();
    }

    /// Returns the time by which the current request must be received completely.
    pub fn request_read_deadline(&self) -> Time {
        if self.has_answered.get() {
            let first_byte_at = self.activity.first_byte_at.get().unwrap_or(self.clock.now());
            return first_byte_at + micros(REQUEST_TIMEOUT);
        }
        let earliest = self.accepted_at + micros(STALLED_REQUEST_TIMEOUT);
        earliest.max(self.opened_at + micros(REQUEST_TIMEOUT))
    }

    /// Returns how long the current request may have waited for its connection to be accepted.
    pub fn accept_delay(&self) -> Micros {
        let first_byte_at = self.activity.first_byte_at.get().unwrap_or(self.accepted_at);
        if self.has_answered.get() || first_byte_at - self.accepted_at > micros(MAX_QUEUED_READ_DELAY) {
            return Micros(0);
        }
        (self.accepted_at - self.opened_at).min(micros(MAX_ACCEPT_DELAY))
    }

    /// Returns when and how the connection is closed unless its state changes. `None` while a request is
    /// handled, because its body has a separate deadline, and if the connection was asked to close and no
    /// request has begun.
    pub fn close_deadline(&self) -> Option<CloseDeadline> {
        if self.is_handling_request.get() {
            return None;
        }
        if self.activity.first_byte_at.get().is_some() {
            let at = self.request_read_deadline();
            return Some(CloseDeadline { at, mode: CloseMode::TimeOutRequest });
        }
        if self.close_mode.get().is_some() {
            return None;
        }
        Some(CloseDeadline { at: self.idle_deadline(), mode: CloseMode::Graceful })
    }

    /// Returns when and how the connection is closed at capacity because it is inactive. `None` if it was
    /// asked to close, awaits a response, or is idle between requests; the latter connections are closed
    /// first.
    pub fn close_deadline_at_capacity(&self) -> Option<CloseDeadline> {
        if self.close_mode.get().is_some() || self.is_awaiting_response.get() || self.idle_since().is_some() {
            return None;
        }
        Some(match self.activity.last_byte_at.get() {
            None => {
                let at = self.accepted_at + micros(SILENCE_TIMEOUT);
                CloseDeadline { at, mode: CloseMode::Graceful }
            }
            Some(last_byte_at) => {
                let at = last_byte_at + micros(STALLED_REQUEST_TIMEOUT);
                CloseDeadline { at, mode: CloseMode::TimeOutRequest }
            }
        })
    }

    /// Asks the connection to close if its deadline has passed; returns `false` if it has not.
    pub fn close_if_overdue(&self) -> bool {
        match self.close_deadline() {
            Some(deadline) if deadline.at <= self.clock.now() => {
                self.request_close(deadline.mode);
                true
            }
            _ => false,
        }
    }

    /// Asks the connection to close.
    pub fn request_close(&self, mode: CloseMode) {
        self.close_mode.set(Some(mode));
        self.close_requested.notify_one();
        if mode == CloseMode::TimeOutRequest {
            self.request_timed_out.notify_one();
        }
    }

    /// Returns how the connection was asked to close, if it was.
    pub fn close_mode(&self) -> Option<CloseMode> {
        self.close_mode.get()
    }

    /// Returns since when the connection has been idle between requests. `None` before the first response and
    /// once the client has sent the first byte of the next request.
    pub fn idle_since(&self) -> Option<Time> {
        self.idle_since.get().filter(|_| self.activity.first_byte_at.get().is_none())
    }

    /// Whether the client has sent nothing since the connection was accepted.
    pub fn has_sent_nothing(&self) -> bool {
        self.activity.last_byte_at.get().is_none()
    }

    /// Whether the head of a request is partially received.
    pub fn is_receiving_head(&self) -> bool {
        !self.is_handling_request.get() && self.activity.first_byte_at.get().is_some()
    }

    /// Whether the head or body of a request is partially received.
    pub fn is_receiving_request(&self) -> bool {
        !self.is_awaiting_response.get()
            && (self.is_handling_request.get() || self.activity.first_byte_at.get().is_some())
    }

    fn idle_deadline(&self) -> Time {
        match self.idle_since.get() {
            Some(since) => since + micros(CLIENT_IDLE_TIMEOUT),
            None => {
                let earliest = self.accepted_at + micros(SILENCE_TIMEOUT);
                earliest.max(self.opened_at + micros(CLIENT_IDLE_TIMEOUT))
            }
        }
    }
}
