//! A client's connection as the rest of the server sees it: in which state it is, when that has lasted too long, and
//! how it is told to end.

use crate::clock::{micros, Clock};
use load_balancer::{Micros, Time};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A connection that brings nothing for so long is closed, also between requests: the platform lets go of idle ones
/// after 2 s, and each silent peer holds one of few descriptors until it is.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);
/// A request has to be whole so long after its connection came, or after its own first byte where others were answered
/// before it. A peer that never sends one whole is owed its end within 3 s; the rest is for a process held up.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2750);
/// With every connection taken, one that has brought nothing for so long makes room: a client's request follows its
/// connection by far less, while one that came for nothing would keep the next clients waiting.
const CROWDED_SILENCE: Duration = Duration::from_millis(100);
/// Likewise one in the middle of a request of which no byte came for so long.
const CROWDED_STALL: Duration = Duration::from_millis(450);

/// A first byte that is read so soon after the connection was accepted may have come before.
const READ_AT_ONCE: Duration = Duration::from_millis(40);
/// A connection is taken not to have waited longer than this for its place.
const LONGEST_WAIT: Duration = Duration::from_millis(300);

/// When bytes came from a client.
pub struct Activity {
    clock: Clock,
    /// The first since the last answer.
    begun: Cell<Option<Time>>,
    last: Cell<Option<Time>>,
}

impl Activity {
    pub fn new(clock: Clock) -> Activity {
        Activity { clock, begun: Cell::default(), last: Cell::default() }
    }

    /// Some bytes have come.
    pub fn note(&self) {
        let now = self.clock.now();
        self.begun.set(self.begun.get().or(Some(now)));
        self.last.set(Some(now));
    }
}

/// How a connection ends that has lasted too long in its state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// It is closed: no request on it has begun.
    Close,
    /// What has begun to come is answered with an error.
    Reject,
}

/// A client's connection.
pub struct ClientConnection {
    clock: Clock,
    /// When it may have come; it waited from then on until it was accepted.
    came: Time,
    accepted: Time,
    pub activity: Rc<Activity>,
    /// Since when it has been idle between requests.
    idle: Cell<Option<Time>>,
    /// Some request on it was answered.
    answered: Cell<bool>,
    /// The head of a request has come, and its answer has not been given.
    handling: Cell<bool>,
    /// A request on it was read whole and waits for its answer.
    pub waiting: Cell<bool>,
    ending: Cell<Option<Ending>>,
    /// It has been told to end.
    pub told_to_end: Notify,
    /// The request that has begun to come on it is to be answered with an error.
    pub rejected: Notify,
    /// It has become idle, from which its time counts.
    pub became_idle: Notify,
}

impl ClientConnection {
    /// `waited`: so long it may have waited to be accepted.
    pub fn new(clock: Clock, waited: Duration) -> ClientConnection {
        let accepted = clock.now();
        ClientConnection {
            clock,
            came: Time(accepted.0.saturating_sub(micros(waited).0)),
            accepted,
            activity: Rc::new(Activity::new(clock)),
            idle: Cell::default(),
            answered: Cell::default(),
            handling: Cell::default(),
            waiting: Cell::default(),
            ending: Cell::default(),
            told_to_end: Notify::new(),
            rejected: Notify::new(),
            became_idle: Notify::new(),
        }
    }

    /// The head of a request has come.
    pub fn begin_request(&self) {
        self.handling.set(true);
        self.idle.set(None);
    }

    /// It has its answer.
    pub fn end_request(&self) {
        self.handling.set(false);
        self.answered.set(true);
        self.activity.begun.set(None);
        self.idle.set(Some(self.clock.now()));
        self.became_idle.notify_one();
    }

    /// Until when the request that has begun has to be whole.
    pub fn request_due(&self) -> Time {
        match self.answered.get() {
            true => self.activity.begun.get().unwrap_or(self.clock.now()) + micros(REQUEST_TIMEOUT),
            false => (self.came + micros(REQUEST_TIMEOUT)).max(self.accepted + micros(CROWDED_STALL)),
        }
    }

    /// How long the request that has begun may have waited for its connection to be accepted.
    pub fn waited(&self) -> Micros {
        let begun = self.activity.begun.get().unwrap_or(self.accepted);
        if self.answered.get() || begun - self.accepted > micros(READ_AT_ONCE) {
            return Micros(0);
        }
        (self.accepted - self.came).min(micros(LONGEST_WAIT))
    }

    /// When it is to end unless its state changes, and how.
    pub fn due(&self) -> Option<(Time, Ending)> {
        if self.handling.get() {
            return None; // its handler keeps the time of its body
        }
        if self.activity.begun.get().is_some() {
            return Some((self.request_due(), Ending::Reject));
        }
        let due = match self.idle.get() {
            Some(since) => since + micros(IDLE_TIMEOUT),
            None => (self.came + micros(IDLE_TIMEOUT)).max(self.accepted + micros(CROWDED_SILENCE)),
        };
        self.ending.get().is_none().then_some((due, Ending::Close))
    }

    /// From when on it makes room for others where every connection is taken, and how: one that brings nothing. Those
    /// that are idle between requests do so at any time, and are no matter of this.
    pub fn makes_room(&self) -> Option<(Time, Ending)> {
        if self.ending.get().is_some() || self.waiting.get() || self.idle_since().is_some() {
            return None;
        }
        Some(match self.activity.last.get() {
            None => (self.accepted + micros(CROWDED_SILENCE), Ending::Close),
            Some(last) => (last + micros(CROWDED_STALL), Ending::Reject),
        })
    }

    /// Since when nothing has come on it after its last answer.
    pub fn idle_since(&self) -> Option<Time> {
        self.idle.get().filter(|_| self.activity.begun.get().is_none())
    }

    /// Nothing has come on it since it was accepted.
    pub fn is_silent(&self) -> bool {
        self.activity.last.get().is_none()
    }

    /// A request on it has begun to come and is not whole.
    pub fn is_in_request(&self) -> bool {
        !self.waiting.get() && (self.handling.get() || self.activity.begun.get().is_some())
    }

    pub fn tell_to_end(&self, how: Ending) {
        self.ending.set(Some(how));
        self.told_to_end.notify_one();
        if how == Ending::Reject {
            self.rejected.notify_one();
        }
    }

    /// It has been told to end, and how.
    pub fn ending(&self) -> Option<Ending> {
        self.ending.get()
    }
}
