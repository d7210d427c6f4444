//! The dispatcher owns the open requests and their attempts: it turns what happens into events for the
//! balancer and carries out the actions that follow. Which requests are admitted, where an attempt goes and
//! whether it is retried is decided by the balancer.
//!
//! Three things are decided here, since they hold whatever the balancer does: requests past the cap on open
//! ones are rejected, what is overdue is failed, and an attempt of an answered or expired request is not
//! sent.
//!
//! | concern | module |
//! | --- | --- |
//! | messages from the rest of the proxy | `message_handling` |
//! | the balancer's tick, and its timers | `tick`, `timers` |
//! | carrying out actions | `actions`, `attempt_report` |
//! | requests, attempts and deadlines | `request_table`, `deadlines` |
//! | backends of the endpoint list | `backend_table` |
//! | restart of the balancer after a panic | `recovery` |
//! | log | `log` |

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

/// Idle connections are checked this often.
const IDLE_CHECK_INTERVAL: Micros = Micros(1_000_000);

/// Owns the open requests, their attempts and the balancer.
pub struct Dispatcher {
    clock: Clock,
    settings: Arc<Settings>,
    /// Seeds the balancer; another one after each restart of it.
    seed: u64,
    balancer: Balancer,
    pool: Rc<ConnectionPool>,
    backends: BackendTable,
    requests: RequestTable,
    deadlines: Deadlines,
    timers: Timers,
    /// What the balancer handles in its next tick.
    events: Vec<Event>,
    /// Empty between events; kept for its allocation.
    actions: Vec<Action>,
    /// The balancer handles no event before.
    next_tick: Time,
    /// Where attempts report their end.
    messages: mpsc::UnboundedSender<DispatcherMessage>,
    resubscribe: Rc<Notify>,
    status: Rc<ServingStatus>,
}

/// What the dispatcher shares with the rest of the program.
pub struct DispatcherHandles {
    /// The connections to backends.
    pub pool: Rc<ConnectionPool>,
    /// Sends to the dispatcher itself.
    pub messages: mpsc::UnboundedSender<DispatcherMessage>,
    /// Notified when the balancer asks for a new call to discovery.
    pub resubscribe: Rc<Notify>,
    /// What the dispatcher tells the client side.
    pub status: Rc<ServingStatus>,
}

impl Dispatcher {
    /// A dispatcher without requests or backends. Fails where the balancer's configuration is not sound.
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

    /// Runs until no sender of messages is left; it holds one itself, so that this does not happen.
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

    /// When something is due by time alone: a deadline at any time, all else not before the next tick.
    fn next_wakeup(&self) -> Time {
        let balancer_due = if self.events.is_empty() { self.timers.next() } else { self.next_tick };
        let tick_due = balancer_due.min(self.deadlines.next_overdue()).max(self.next_tick);
        tick_due.min(self.deadlines.next())
    }

    fn run_due_work(&mut self, now: Time) {
        self.expire_deadlines(now);
        if now >= self.next_tick {
            self.run_tick(now);
            // After the tick: a late wake-up brings a deadline and the tick that answers it at one moment.
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
