//! When data of a client was read.

use crate::clock::Clock;
use load_balancer::Time;
use std::cell::Cell;

/// Times at which hyper read data of a client. Data that was read ahead counts when it is passed to hyper.
pub struct ReadTimes {
    clock: Clock,
    /// Time of the first byte since the last response; `None` if none was read since.
    first_byte_at: Cell<Option<Time>>,
    /// Time of the last byte; `None` if none was ever read.
    last_byte_at: Cell<Option<Time>>,
    /// Whether the first read found no data: all data has then arrived after the accept.
    was_empty_at_first_read: Cell<bool>,
}

impl ReadTimes {
    /// Creates a record without any reads.
    pub fn new(clock: Clock) -> ReadTimes {
        ReadTimes {
            clock,
            first_byte_at: Cell::default(),
            last_byte_at: Cell::default(),
            was_empty_at_first_read: Cell::default(),
        }
    }

    /// Records that a read found no data.
    pub fn record_empty_read(&self) {
        if self.last_byte_at.get().is_none() {
            self.was_empty_at_first_read.set(true);
        }
    }

    /// Records that bytes were read now.
    pub fn record_read(&self) {
        let now = self.clock.now();
        self.first_byte_at.set(self.first_byte_at.get().or(Some(now)));
        self.last_byte_at.set(Some(now));
    }

    /// Records that the last response is complete: the next byte is the first of another request.
    pub fn begin_message(&self) {
        self.first_byte_at.set(None);
    }

    /// Returns the time of the first byte since the last response; `None` if none was read since.
    pub fn first_byte_at(&self) -> Option<Time> {
        self.first_byte_at.get()
    }

    /// Returns the time of the last byte; `None` if none was ever read.
    pub fn last_byte_at(&self) -> Option<Time> {
        self.last_byte_at.get()
    }

    /// Whether the first read found no data: all data has then arrived after the accept.
    pub fn was_empty_at_first_read(&self) -> bool {
        self.was_empty_at_first_read.get()
    }
}
