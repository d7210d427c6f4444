//! The state of a client connection, its timeouts, and the request to close it.
//!
//! A connection is idle, receives the head of a request, handles it (reads its body, then awaits its answer),
//! and is idle again. What it does follows from the first byte since the last answer and from what its task
//! has noted.

use crate::clock::{micros, Clock};
use load_balancer::{Micros, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A connection without input for this long is closed, also between requests: silent peers would use up the
/// descriptors. A proxy may close an idle connection after 2 s.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Time for a request to be complete, from the opening of its connection, or from its own first byte if
/// others were answered before it. A peer that never completes one is owed an error within 3 s; the rest
/// covers a stall.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2750);
/// At capacity, a connection without any input is closed after this time: a client sends its request far
/// sooner.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);
/// At capacity, a request without further input is answered 408 after this time.
const STALLED_REQUEST_TIMEOUT: Duration = Duration::from_millis(450);

/// A first byte that is read this soon after the accept may have arrived before it.
const IMMEDIATE_READ: Duration = Duration::from_millis(40);
/// The longest wait for the accept that a request's time left is reduced by.
const MAX_ACCEPT_DELAY: Duration = Duration::from_millis(300);

/// When a client sent something.
pub struct Activity {
    clock: Clock,
    /// The first since the last answer.
    first_byte_at: Cell<Option<Time>>,
    last_byte_at: Cell<Option<Time>>,
}

impl Activity {
    /// Nothing was sent yet.
    pub fn new(clock: Clock) -> Activity {
        Activity { clock, first_byte_at: Cell::default(), last_byte_at: Cell::default() }
    }

    /// Some bytes were read now.
    pub fn record_read(&self) {
        let now = self.clock.now();
        self.first_byte_at.set(self.first_byte_at.get().or(Some(now)));
        self.last_byte_at.set(Some(now));
    }
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseMode {
    /// Between requests; one that has begun is answered first.
    Graceful,
    /// A request that has begun and is not complete is answered 408.
    TimeOutRequest,
}

/// When and how a connection is closed unless its state changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloseDeadline {
    /// From then on it is closed.
    pub at: Time,
    /// How it is closed.
    pub mode: CloseMode,
}

/// A client's connection.
pub struct ClientConnection {
    clock: Clock,
    /// The earliest time at which it may have been opened; it waited from then on until it was accepted.
    opened_at: Time,
    accepted_at: Time,
    /// When its client sent something.
    pub activity: Rc<Activity>,
    /// Since when it has been idle between requests.
    idle_since: Cell<Option<Time>>,
    /// Some request on it was answered.
    has_answered: Cell<bool>,
    /// The head of a request was read, and its answer has not been given.
    is_handling_request: Cell<bool>,
    /// A request on it was read whole and waits for its answer.
    is_awaiting_answer: Cell<bool>,
    close_mode: Cell<Option<CloseMode>>,
    /// It was asked to close.
    pub close_requested: Notify,
    /// The request whose body is being read is to be answered 408.
    pub request_timed_out: Notify,
    /// It has become idle, and its idle timeout begins.
    pub became_idle: Notify,
}

impl ClientConnection {
    /// A connection accepted now that may have waited `accept_delay` for it.
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
            is_awaiting_answer: Cell::default(),
            close_mode: Cell::default(),
            close_requested: Notify::new(),
            request_timed_out: Notify::new(),
            became_idle: Notify::new(),
        }
    }

    /// The head of a request was read.
    pub fn begin_request(&self) {
        self.is_handling_request.set(true);
        self.idle_since.set(None);
    }

    /// The request was read whole and waits for its answer, or does so no longer.
    pub fn set_awaiting_answer(&self, is_awaiting_answer: bool) {
        self.is_awaiting_answer.set(is_awaiting_answer);
    }

    /// A request on it was read whole and waits for its answer.
    pub fn is_awaiting_answer(&self) -> bool {
        self.is_awaiting_answer.get()
    }

    /// The request has its answer.
    pub fn end_request(&self) {
        self.is_handling_request.set(false);
        self.has_answered.set(true);
        self.activity.first_byte_at.set(None);
        self.idle_since.set(Some(self.clock.now()));
        self.became_idle.notify_one();
    }

    /// When the request that has begun has to be complete.
    pub fn request_read_deadline(&self) -> Time {
        if self.has_answered.get() {
            let first_byte_at = self.activity.first_byte_at.get().unwrap_or(self.clock.now());
            return first_byte_at + micros(REQUEST_TIMEOUT);
        }
        let least = self.accepted_at + micros(STALLED_REQUEST_TIMEOUT);
        least.max(self.opened_at + micros(REQUEST_TIMEOUT))
    }

    /// How long the request that has begun may have waited for its connection to be accepted.
    pub fn accept_delay(&self) -> Micros {
        let first_byte_at = self.activity.first_byte_at.get().unwrap_or(self.accepted_at);
        if self.has_answered.get() || first_byte_at - self.accepted_at > micros(IMMEDIATE_READ) {
            return Micros(0);
        }
        (self.accepted_at - self.opened_at).min(micros(MAX_ACCEPT_DELAY))
    }

    /// When it is closed unless its state changes; `None` while a request is handled, whose body has a
    /// deadline of its own, or if it was asked to close and no request has begun.
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

    /// When it is closed at capacity because it is inactive; `None` where it is idle between requests, as
    /// those connections are closed first.
    pub fn close_deadline_at_capacity(&self) -> Option<CloseDeadline> {
        if self.close_mode.get().is_some() || self.is_awaiting_answer.get() || self.idle_since().is_some() {
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

    /// Asks it to close if its deadline has passed; `false` if not.
    pub fn close_if_overdue(&self) -> bool {
        match self.close_deadline() {
            Some(deadline) if deadline.at <= self.clock.now() => {
                self.request_close(deadline.mode);
                true
            }
            _ => false,
        }
    }

    /// Asks it to close.
    pub fn request_close(&self, mode: CloseMode) {
        self.close_mode.set(Some(mode));
        self.close_requested.notify_one();
        if mode == CloseMode::TimeOutRequest {
            self.request_timed_out.notify_one();
        }
    }

    /// How it was asked to close, if it was.
    pub fn close_mode(&self) -> Option<CloseMode> {
        self.close_mode.get()
    }

    /// Since when it has been idle: its client has sent nothing after the last answer.
    pub fn idle_since(&self) -> Option<Time> {
        self.idle_since.get().filter(|_| self.activity.first_byte_at.get().is_none())
    }

    /// Its client has sent nothing since it was accepted.
    pub fn has_sent_nothing(&self) -> bool {
        self.activity.last_byte_at.get().is_none()
    }

    /// The head of a request on it has begun and is not complete.
    pub fn is_receiving_head(&self) -> bool {
        !self.is_handling_request.get() && self.activity.first_byte_at.get().is_some()
    }

    /// A request on it has begun and is not complete.
    pub fn is_receiving_request(&self) -> bool {
        !self.is_awaiting_answer.get()
            && (self.is_handling_request.get() || self.activity.first_byte_at.get().is_some())
    }

    fn idle_deadline(&self) -> Time {
        match self.idle_since.get() {
            Some(since) => since + micros(CLIENT_IDLE_TIMEOUT),
            None => {
                let least = self.accepted_at + micros(SILENCE_TIMEOUT);
                least.max(self.opened_at + micros(CLIENT_IDLE_TIMEOUT))
            }
        }
    }
}
