//! The decisions of one proxy: which requests are admitted, which backend each attempt goes to, when it is
//! retried, hedged or given up. A state machine without clock, socket or thread: [`Balancer::handle`] takes
//! one event and yields the actions that it calls for.
//!
//! [`Balancer`] holds the parts and passes events to them in order. Each part is a module with its own state
//! and rules:
//!
//! | concern | module |
//! | --- | --- |
//! | endpoint list, and calls for it | `fleet`, `subscription` |
//! | traffic share of kinds | `halb`, `speed_estimation`, `share_update` |
//! | traffic share of backends | `traffic_allocation`, `zone_preference` |
//! | which backends this proxy uses | `subset`, `rotation` |
//! | outliers and warming backends | `outlier_detection`, `slow_start` |
//! | admission, priorities, quotas | `admission`, `priority`, `quota`, `classes` |
//! | the way of a request | `request_arrival`, `dispatching`, `attempt_outcome` |
//! | its end | `request_review`, `request_completion` |
//! | where an attempt goes | `request`, `request_queue`, `selection`, `concurrency_limit` |
//! | retries, hedging, giving up | `retry`, `deadlines` |
//! | replaced configuration | `reconfiguration` |
//! | the next wake-up, log events | `wakeup`, `operator_log` |

mod admission;
mod attempt_outcome;
mod classes;
mod concurrency_limit;
mod deadlines;
mod dispatching;
mod fleet;
mod halb;
mod operator_log;
mod outlier_detection;
mod priority;
mod quota;
mod reconfiguration;
mod request;
mod request_arrival;
mod request_completion;
mod request_queue;
mod request_review;
mod retry;
mod rotation;
mod selection;
mod share_update;
mod slow_start;
mod speed_estimation;
mod subscription;
mod subset;
mod traffic_allocation;
mod wakeup;
mod zone_preference;

pub use halb::{halb_shares, KindCapacity};

use crate::action::{Action, LogEvent};
use crate::backend::{Backend, EndpointListUpdate};
use crate::config::{Class, Config, ConfigError};
use crate::estimators::{Rate, RATE_MEMORY};
use crate::event::Event;
use crate::random::Random;
use crate::units::{Micros, RequestId, Time};
use admission::Admission;
use classes::ClassTable;
use concurrency_limit::ProxyLimit;
use fleet::Fleet;
use operator_log::OperatorLog;
use outlier_detection::UnresponsiveBackends;
use quota::Quotas;
use request::{AttemptId, InFlightAttempt, Request};
use request_queue::RequestQueue;
use retry::RetryBudget;
use std::collections::BTreeMap;
use subscription::Subscription;
use wakeup::Wakeup;

/// When a rejected client may return: until then the rate that overloaded the backends still counts.
const RETRY_AFTER: Micros = RATE_MEMORY;

/// The decisions of one proxy. Give it every event in order; it answers with actions.
pub struct Balancer {
    config: Config,
    random: Random,
    fleet: Fleet,
    classes: ClassTable,
    quotas: Quotas,
    admission: Admission,
    retry_budget: RetryBudget,
    unresponsive_backends: UnresponsiveBackends,
    subscription: Subscription,
    proxy_limit: ProxyLimit,
    /// Requests that are owed an answer.
    requests: BTreeMap<RequestId, Request>,
    queue: RequestQueue,
    /// Attempts in flight, with or without their request.
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// Requests a second that admission control lets pass, also those that then find no allocated capacity.
    admitted_rate: Rate,
    /// The traffic shares are updated this often: the shortest latency objective.
    update_interval: Micros,
    updated_at: Time,
    wakeup: Wakeup,
    log: OperatorLog,
    actions: Vec<Action>,
}

impl Balancer {
    /// A proxy that knows nothing yet but its configuration. Fails where that is not
    /// [sound](Config::validate). The same seed and events give the same actions.
    pub fn new(config: Config, seed: u64) -> Result<Balancer, ConfigError> {
        config.validate()?;
        Ok(Balancer {
            random: Random::new(seed),
            fleet: Fleet::default(),
            classes: ClassTable::new(&config.classes),
            quotas: Quotas::new(config.tenants.len()),
            admission: Admission::new(),
            retry_budget: RetryBudget::default(),
            unresponsive_backends: UnresponsiveBackends::default(),
            subscription: Subscription::new(config.discovery),
            proxy_limit: ProxyLimit::default(),
            requests: BTreeMap::new(),
            queue: RequestQueue::default(),
            attempts: BTreeMap::new(),
            admitted_rate: Rate::default(),
            update_interval: shortest_objective(&config.classes),
            updated_at: Time(0),
            wakeup: Wakeup::new(),
            log: OperatorLog::new(),
            actions: Vec::new(),
            config,
        })
    }

    /// When a client that is rejected now may return, from now.
    pub fn retry_after(&self) -> Micros {
        RETRY_AFTER
    }

    /// Takes one event that happened at `now` and adds the actions it calls for. Time does not go back from
    /// one event to the next.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if let Event::TimerFired { token } = event {
            if !self.wakeup.timer_fired(token) {
                return;
            }
        }
        self.apply(now, event);
        if now - self.updated_at >= self.update_interval {
            self.update_shares(now);
        }
        if self.wakeup.take_due(now) {
            self.run_due_work(now);
        }
        self.dispatch_queued(now);
        self.wakeup.set_timer(now, self.config.tick, &mut self.actions);
        actions.append(&mut self.actions);
    }

    fn apply(&mut self, now: Time, event: Event) {
        if frees_capacity(&event) {
            self.queue.unblock();
        }
        match event {
            Event::EndpointListChanged { update, backends } => {
                self.endpoint_list_changed(now, update, backends);
            }
            Event::RequestArrived(arrival) => self.request_arrived(now, arrival),
            Event::ConfigReplaced(update) => self.reconfigure(now, *update),
            Event::ResponseStarted { request, attempt } => self.response_started(request, attempt),
            Event::AttemptEnded(result) => self.attempt_ended(now, result),
            Event::ClientDisconnected { request } => self.close(request, None),
            Event::ShutdownStarted { deadline } => self.shutdown_started(now, deadline),
            Event::TimerFired { .. } => {}
        }
    }

    fn endpoint_list_changed(&mut self, now: Time, update: EndpointListUpdate, list: Vec<Backend>) {
        if self.subscription.list_arrived(&self.config, now, update, &mut self.random) {
            self.wake_for_subscription();
            self.log.push(now, LogEvent::SubscriptionLost, &mut self.actions);
        }
        if self.fleet.apply(update, list) {
            self.fleet.prune();
            self.update_shares(now);
        }
    }

    fn shutdown_started(&mut self, now: Time, deadline: Time) {
        for request in self.requests.values_mut() {
            request.shorten(deadline);
        }
        self.wakeup.schedule(now);
    }

    /// What is due by time alone.
    fn run_due_work(&mut self, now: Time) {
        if self.subscription.take_due_call(self.config.discovery, now) {
            self.actions.push(Action::Resubscribe);
        }
        self.wake_for_subscription();
        self.count_slow_attempts(now);
        self.find_unresponsive_backends(now);
        self.review_requests(now);
    }

    fn wake_for_subscription(&mut self) {
        if let Some(at) = self.subscription.next_call() {
            self.wakeup.schedule(at);
        }
    }
}

/// Whether an event may free capacity for a queued request that found none before.
fn frees_capacity(event: &Event) -> bool {
    !matches!(event, Event::RequestArrived(_) | Event::TimerFired { .. })
}

fn shortest_objective(classes: &[Class]) -> Micros {
    classes.iter().map(|class| class.latency_objective).min().unwrap_or_default()
}
