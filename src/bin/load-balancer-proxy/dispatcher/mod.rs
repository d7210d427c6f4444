//! The dispatcher owns the open requests and their attempts. It converts messages from the rest of the proxy
//! into events for the balancer and executes the actions that the balancer returns. The balancer decides
//! which requests are admitted, which backend receives an attempt, and whether a request is retried.
//!
//! The dispatcher enforces three rules itself, so that they hold whatever the balancer does: it rejects
//! requests beyond the limit on open requests, it fails overdue requests, and it does not send attempts of
//! answered or expired requests.
//!
//! | concern | module |
//! | --- | --- |
//! | messages from the rest of the proxy | `message_handling` |
//! | balancer ticks and timers | `tick`, `timers` |
//! | execution of actions | `actions`, `attempt_report` |
//! | requests, attempts and deadlines | `request_table`, `deadlines` |
//! | backends of the endpoint list | `backend_table` |
//! | restart of the balancer after a panic | `recovery` |
//! | log events | `log` |

mod actions;
mod attempt_report;
mod backend_table;
mod deadlines;
mod log;
mod message_handling;
mod recovery;
mod request_table;
#[cfg(test)]
mod tests;
mod tick;
mod timers;

use crate::clock::Clock;
use crate::config::Settings;
use crate::messages::{DispatcherMessage, ServingStatus};
use crate::upstream::ConnectionPool;
use backend_table::BackendTable;
use deadlines::Deadlines;
use load_balancer::{Action, Balancer, ConfigError, Event, Micros, Time};
use request_table::RequestTable;
use std::rc::Rc;
use std::sync::Arc;
use timers::Timers;
use tokio::sync::{mpsc, Notify};

/// Interval between checks for expired idle connections.
const IDLE_CHECK_INTERVAL: Micros = Micros(1_000_000);

/// Owns the open requests, their attempts and the balancer.
pub struct Dispatcher {
    clock: Clock,
    settings: Arc<Settings>,
    /// Seed of the balancer's random numbers; changes with each restart of the balancer.
    seed: u64,
    balancer: Balancer,
    pool: Rc<ConnectionPool>,
    backends: BackendTable,
    requests: RequestTable,
    deadlines: Deadlines,
    timers: Timers,
    /// Events that the balancer handles in its next tick.
    events: Vec<Event>,
    /// Buffer for the actions of one event, reused to avoid allocations; empty between events.
    actions: Vec<Action>,
    /// Earliest time at which the balancer handles events.
    next_tick: Time,
    /// Channel to the dispatcher itself, on which attempts report their end.
    messages: mpsc::UnboundedSender<DispatcherMessage>,
    resubscribe: Rc<Notify>,
    status: Rc<ServingStatus>,
}

/// Handles that the dispatcher shares with the rest of the proxy.
pub struct DispatcherHandles {
    /// Pool of connections to backends.
    pub pool: Rc<ConnectionPool>,
    /// Sender of messages to the dispatcher itself.
    pub messages: mpsc::UnboundedSender<DispatcherMessage>,
    /// Notified when the balancer requests a new discovery call.
    pub resubscribe: Rc<Notify>,
    /// State that the client side of the proxy reads.
    pub status: Rc<ServingStatus>,
}

impl Dispatcher {
    /// Creates a dispatcher without requests or backends. Fails if the balancer's configuration is invalid.
    pub fn new(
        settings: Arc<Settings>, seed: u64, handles: DispatcherHandles,
    ) -> Result<Dispatcher, ConfigError> {
        let DispatcherHandles { pool, messages, resubscribe, status } = handles;
        Ok(Dispatcher {
            clock: pool.clock,
            balancer: Balancer::new(settings.balancer.clone(), seed)?,
            settings,
            seed,
            pool,
            backends: BackendTable::default(),
            requests: RequestTable::default(),
            deadlines: Deadlines::new(),
            timers: Timers::default(),
            events: Vec::new(),
            actions: Vec::new(),
            next_tick: Time(0),
            messages,
            resubscribe,
            status,
        })
    }

    /// Handles messages and runs the ticks of the balancer. Never returns: it would end once all message
    /// senders are dropped, but the dispatcher holds one itself.
    pub async fn run(mut self, mut messages: mpsc::UnboundedReceiver<DispatcherMessage>) {
        let sleep = tokio::time::sleep_until(self.clock.instant(self.clock.now()));
        tokio::pin!(sleep);
        let mut sleeps_until = None;
        let mut next_idle_check = self.clock.now() + IDLE_CHECK_INTERVAL;
        loop {
            let wakeup = self.next_wakeup().min(next_idle_check);
            if sleeps_until != Some(wakeup) {
                sleeps_until = Some(wakeup);
                sleep.as_mut().reset(self.clock.instant(wakeup));
            }
            tokio::select! {
                biased;
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = &mut sleep => sleeps_until = None,
            }
            while let Ok(message) = messages.try_recv() {
                self.handle_message(message);
            }
            let now = self.clock.now();
            self.run_due_work(now);
            if now >= next_idle_check {
                next_idle_check = now + IDLE_CHECK_INTERVAL;
                self.close_expired_connections();
            }
        }
    }

    /// Returns the time of the next wake-up if no message arrives. Deadlines expire at any time. Events,
    /// timers and overdue requests are handled in ticks, so not before `next_tick`.
    fn next_wakeup(&self) -> Time {
        let balancer_due = if self.events.is_empty() { self.timers.next() } else { self.next_tick };
        let tick_due = balancer_due.min(self.deadlines.next_grace_end()).max(self.next_tick);
        tick_due.min(self.deadlines.next())
    }

    fn run_due_work(&mut self, now: Time) {
        self.expire_deadlines(now);
        if now >= self.next_tick {
            self.run_tick(now);
            // Must follow the tick: after a late wake-up, the balancer may answer a request in this tick
            // although its grace period has ended.
            self.fail_overdue(now);
        }
    }

    fn close_expired_connections(&self) {
        for upstream in self.backends.iter() {
            let upstream = upstream.clone();
            let pool = self.pool.clone();
            tokio::task::spawn_local(async move { pool.close_expired_idle(&upstream).await });
        }
    }
}
