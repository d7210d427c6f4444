//! State and timeouts of a client connection, and requests to close it.
//!
//! | state | since the last response or the accept | `is_handling_request` | `is_awaiting_response` |
//! | --- | --- | --- | --- |
//! | idle | no byte was read | no | no |
//! | receiving the head of a request | the first byte was read | no | no |
//! | receiving its body | the head was read | yes | no |
//! | awaiting its response | the request was read completely | yes | yes |

use super::client_socket::LastResponse;
use super::inactivity::{InactiveConnection, Inactivity};
use super::read_times::ReadTimes;
use crate::clock::{micros, Clock};
use load_balancer::{Micros, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A connection is closed after this time without input, before its first request or between requests,
/// because silent peers would exhaust the file descriptors. The platform lets a proxy close idle connections
/// after 2 s.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// Time within which a request must be received completely. For the first request of a connection, it is
/// counted from the opening of the connection, for a later one from the first byte of the request. A peer
/// that never completes a request must get an error within 3 s; the difference allows for a stall of the
/// process.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2750);
/// Minimum time from the accept to the close for idleness, however long the connection was queued.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// Minimum time from the accept to the read deadline of the first request, however long the connection was
/// queued.
const MIN_READ_TIME: Duration = Duration::from_millis(450);
/// At capacity, a connection is kept for this time after the accept, its last input or its last response.
/// Input or a close that is on its way arrives within it.
const ARRIVAL_ALLOWANCE: Duration = Duration::from_millis(25);

/// While memory is short, a request whose body gets no byte for this time is timed out.
const BODY_STALL_TIME: Duration = Duration::from_millis(200);

/// How a connection that is asked to close is closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CloseMode {
    /// After the current request, if any, is answered.
    Graceful,
    /// An incomplete request is answered with 408.
    TimeOutRequest,
}

/// When and how a connection is asked to close unless its state changes before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CloseDeadline {
    /// Time at which the connection is asked to close.
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
    /// Shared with the socket, which records the reads.
    pub read_times: Rc<ReadTimes>,
    /// Time of the last response; `None` before the first response and while a request is handled.
    last_response_at: Cell<Option<Time>>,
    /// Whether a request on the connection has been answered.
    has_answered: Cell<bool>,
    /// Whether the head of a request was read and the request is not answered yet.
    is_handling_request: Cell<bool>,
    /// Whether a request was read completely and awaits its response.
    is_awaiting_response: Cell<bool>,
    /// Since when memory is reserved for the body of the request that is handled; `None` if none is.
    body_memory_since: Cell<Option<Time>>,
    /// Whether the client may have left while the request that awaits its response waited to be read.
    is_disconnect_unchecked: Cell<bool>,
    /// How the connection was asked to close; `None` if it was not.
    close_mode: Cell<Option<CloseMode>>,
    /// Time until which the connection is expected to be closed; zero if it was not asked to and has not
    /// ended.
    closing_until: Cell<Time>,
    /// When the last response was sent; `None` before.
    ended_at: Cell<Option<Time>>,
    /// Wakes the connection's task when the connection is asked to close.
    pub close_requested: Notify,
    /// Wakes the request handler that reads a body when the request has to be answered with 408.
    pub request_timed_out: Notify,
    /// Wakes the connection's task when the connection becomes idle, so that it computes the close deadline
    /// again.
    pub became_idle: Notify,
    /// Wakes the connection's task when it must no longer wait for the client's close.
    pub linger_cut_short: Notify,
}

impl ClientConnection {
    /// Creates the state of a connection that is accepted now, after a wait of up to `accept_delay`.
    pub fn new(clock: Clock, accept_delay: Duration) -> ClientConnection {
        let accepted_at = clock.now();
        ClientConnection {
            clock,
            opened_at: accepted_at.saturating_sub(micros(accept_delay)),
            accepted_at,
            read_times: Rc::new(ReadTimes::new(clock)),
            last_response_at: Cell::default(),
            has_answered: Cell::default(),
            is_handling_request: Cell::default(),
            is_awaiting_response: Cell::default(),
            body_memory_since: Cell::default(),
            is_disconnect_unchecked: Cell::default(),
            close_mode: Cell::default(),
            closing_until: Cell::default(),
            ended_at: Cell::default(),
            close_requested: Notify::new(),
            request_timed_out: Notify::new(),
            became_idle: Notify::new(),
            linger_cut_short: Notify::new(),
        }
    }

    /// Records that the head of a request was read.
    pub fn begin_request(&self) {
        self.is_handling_request.set(true);
        self.last_response_at.set(None);
    }

    /// Sets whether a request was read completely and awaits its response.
    pub fn set_awaiting_response(&self, is_awaiting_response: bool) {
        self.is_awaiting_response.set(is_awaiting_response);
    }

    /// Whether a request was read completely and awaits its response.
    pub fn is_awaiting_response(&self) -> bool {
        self.is_awaiting_response.get()
    }

    /// Records that memory was reserved for the body of a request, which is read from now on.
    pub fn begin_body(&self) {
        self.body_memory_since.set(Some(self.clock.now()));
    }

    /// Returns since when no byte has arrived of a body for which memory is reserved; `None` if there is no
    /// such body, it is complete, it has not stalled, or it was timed out. Bytes may have arrived unseen for `unobserved_time`.
    pub fn body_stalled_since(&self, unobserved_time: Micros) -> Option<Time> {
        let since = self.body_memory_since.get()?.max(self.read_times.last_byte_at()?);
        let is_stalled = since + micros(BODY_STALL_TIME) + unobserved_time <= self.clock.now();
        let is_timed_out = self.close_mode.get() == Some(CloseMode::TimeOutRequest);
        (self.is_receiving_request() && is_stalled && !is_timed_out).then_some(since)
    }

    /// Sets whether the client may have left while the request that awaits its response waited to be read.
    pub fn set_disconnect_unchecked(&self, is_unchecked: bool) {
        self.is_disconnect_unchecked.set(is_unchecked);
    }

    /// Returns whether it must be checked at once if the client has left; resets that.
    pub fn take_disconnect_unchecked(&self) -> bool {
        self.is_disconnect_unchecked.take()
    }

    /// Records that the response is ready to be written. The connection counts as idle from now on.
    pub fn end_request(&self) {
        self.is_handling_request.set(false);
        self.body_memory_since.set(None);
        self.has_answered.set(true);
        self.read_times.begin_message();
        self.last_response_at.set(Some(self.clock.now()));
        self.became_idle.notify_one();
    }

    /// Returns the time by which the current request must be received completely.
    pub fn request_read_deadline(&self) -> Time {
        if self.has_answered.get() {
            let first_byte_at = self.read_times.first_byte_at().unwrap_or(self.clock.now());
            return first_byte_at + micros(REQUEST_TIMEOUT);
        }
        let earliest = self.accepted_at + micros(MIN_READ_TIME);
        earliest.max(self.opened_at + micros(REQUEST_TIMEOUT))
    }

    /// Returns how long the current request may have waited until its first byte was read, in the listen
    /// queue or after the accept.
    pub fn accept_delay(&self) -> Micros {
        if self.has_answered.get() || self.read_times.was_empty_at_first_read() {
            return Micros(0);
        }
        self.read_times.first_byte_at().unwrap_or(self.accepted_at) - self.opened_at
    }

    /// Returns when and how the connection is closed unless its state changes. `None` while a request is
    /// handled, since reading its body and awaiting its response have deadlines of their own. Also `None` if
    /// the connection was asked to close and no byte of a new request was read.
    pub fn close_deadline(&self) -> Option<CloseDeadline> {
        if self.is_handling_request.get() {
            return None;
        }
        if self.read_times.first_byte_at().is_some() {
            let at = self.request_read_deadline();
            return Some(CloseDeadline { at, mode: CloseMode::TimeOutRequest });
        }
        if self.close_mode.get().is_some() {
            return None;
        }
        Some(CloseDeadline { at: self.idle_deadline(), mode: CloseMode::Graceful })
    }

    /// Returns whether and when the connection can be closed to free its slot. `None` while it awaits a
    /// response and once it was asked to close, unless it has ended or its client has begun another request.
    pub fn inactivity(&self) -> Option<InactiveConnection> {
        let inactive = |state, since| Some(InactiveConnection { state, since, closable_at: since });
        let inactive_after_allowance = |state, since| {
            let closable_at = since + micros(ARRIVAL_ALLOWANCE);
            Some(InactiveConnection { state, since, closable_at })
        };
        if let Some(ended_at) = self.ended_at.get() {
            return inactive(Inactivity::Ended, ended_at);
        }
        if self.is_receiving_request() {
            let last_byte_at = self.read_times.last_byte_at().unwrap_or(self.accepted_at);
            let is_timed_out = self.close_mode.get() == Some(CloseMode::TimeOutRequest);
            return inactive_after_allowance(Inactivity::Incomplete, last_byte_at).filter(|_| !is_timed_out);
        }
        if self.is_awaiting_response.get() || self.close_mode.get().is_some() {
            return None;
        }
        match self.idle_since() {
            Some(idle_since) => inactive(Inactivity::Idle, idle_since),
            None => inactive_after_allowance(Inactivity::Silent, self.accepted_at),
        }
    }

    /// Asks the connection, which is inactive in this state, to close because its slot is needed. Returns the
    /// time until which it is expected to be closed.
    pub fn free_slot(&self, state: Inactivity) -> Time {
        match state.close_mode() {
            Some(mode) => self.request_close(mode),
            None => self.linger_cut_short.notify_one(),
        }
        self.closing_until.set(self.clock.now() + micros(ARRIVAL_ALLOWANCE));
        self.closing_until()
    }

    /// Returns the time until which the connection, which was asked to close or has ended, is expected to be
    /// closed. Zero if it is neither.
    pub fn closing_until(&self) -> Time {
        self.closing_until.get()
    }

    /// Records that the last response was sent. The connection then waits for the client's close, except that
    /// a client that was sent a 408 is not expected to react.
    pub fn end(&self, last_response: LastResponse) {
        let now = self.clock.now();
        self.ended_at.set(Some(now));
        self.closing_until.set(match last_response {
            LastResponse::Regular => now + micros(ARRIVAL_ALLOWANCE),
            LastResponse::Timeout => now,
        });
    }

    /// Asks the connection to close if its [`close_deadline`](Self::close_deadline) has passed; returns
    /// whether it has. The deadline is computed again here: the first byte of a request changes the deadline
    /// but does not reset the timer of the connection's task.
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
        if self.close_mode.replace(Some(mode)) != Some(mode) {
            self.closing_until.set(self.clock.now() + micros(ARRIVAL_ALLOWANCE));
        }
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
        self.last_response_at.get().filter(|_| self.read_times.first_byte_at().is_none())
    }

    /// Whether the client has sent nothing since the connection was accepted.
    pub fn has_sent_nothing(&self) -> bool {
        self.read_times.last_byte_at().is_none()
    }

    /// Whether the head of a request is partially received.
    pub fn is_receiving_head(&self) -> bool {
        !self.is_handling_request.get() && self.read_times.first_byte_at().is_some()
    }

    /// Whether the head or body of a request is partially received.
    pub fn is_receiving_request(&self) -> bool {
        !self.is_awaiting_response.get()
            && (self.is_handling_request.get() || self.read_times.first_byte_at().is_some())
    }

    fn idle_deadline(&self) -> Time {
        match self.last_response_at.get() {
            Some(last_response_at) => last_response_at + micros(CLIENT_IDLE_TIMEOUT),
            None => {
                let earliest = self.accepted_at + micros(MIN_IDLE_TIME);
                earliest.max(self.opened_at + micros(CLIENT_IDLE_TIMEOUT))
            }
        }
    }
}
