//! The load-balancing decisions of one proxy: which requests are admitted, which backend each attempt is sent
//! to, and when a request is retried, hedged or given up.
//!
//! [`Balancer`] is a state machine without clock, sockets or threads: [`Balancer::handle`] takes one event
//! and returns the resulting actions. It owns the state of the submodules and forwards each event to them:
//!
//! | concern | module |
//! | --- | --- |
//! | endpoint list and discovery calls | `fleet`, `subscription` |
//! | traffic share of each kind | `halb`, `service_rate_estimation`, `share_update` |
//! | traffic share of each backend | `traffic_allocation`, `zone_preference` |
//! | backends that this proxy uses | `subset`, `rotation` |
//! | outliers and warming backends | `outlier_detection`, `slow_start` |
//! | admission, priorities, quotas | `admission`, `priority`, `quota`, `classes` |
//! | lifecycle of a request | `request_arrival`, `dispatching`, `attempt_outcome` |
//! | end of a request | `request_checks`, `request_completion` |
//! | queueing and backend selection | `request`, `request_queue`, `selection`, `concurrency_limit` |
//! | retries, hedging, deadlines | `retry`, `deadlines` |
//! | configuration changes | `reconfiguration` |
//! | timer and log events | `wakeup`, `operator_log` |

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
mod request_checks;
mod request_completion;
mod request_queue;
mod retry;
mod rotation;
mod selection;
mod service_rate_estimation;
mod share_update;
mod slow_start;
mod subscription;
mod subset;
mod traffic_allocation;
mod wakeup;
mod zone_preference;

pub use halb::{halb_shares, KindCapacity};

use crate::action::{Action, LogEvent};
use crate::backend::{Backend, EndpointListUpdate};
use crate::config::{Class, Config, ConfigError};
use crate::estimators::{Rate, RATE_TIME_CONSTANT};
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

/// Delay after which a rejected client may retry. Before that, the rate estimate still reflects the overload.
const RETRY_AFTER: Micros = RATE_TIME_CONSTANT;

/// The load-balancing decisions of one proxy, driven by [`Event`]s passed in order of time.
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
    /// Pending requests: those without a final response.
    requests: BTreeMap<RequestId, Request>,
    queue: RequestQueue,
    /// Attempts in flight, including those whose request is closed.
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// Rate of requests that pass admission control, including those rejected for lack of allocated capacity.
    admitted_rate: Rate,
    /// Interval between updates of the traffic shares: the shortest latency objective of all classes.
    share_update_interval: Micros,
    shares_updated_at: Time,
    wakeup: Wakeup,
    log: OperatorLog,
    actions: Vec<Action>,
}

impl Balancer {
    /// Creates a balancer with an empty endpoint list, or fails if `config` is not
    /// [valid](Config::validate). The same configuration, seed and events yield the same actions.
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
            share_update_interval: shortest_objective(&config.classes),
            shares_updated_at: Time(0),
            wakeup: Wakeup::new(),
            log: OperatorLog::new(),
            actions: Vec::new(),
            config,
        })
    }

    /// Delay after which a client that is rejected now may retry.
    pub fn retry_after(&self) -> Micros {
        RETRY_AFTER
    }

    /// Processes one event that happened at `now` and appends the resulting actions. `now` must not decrease
    /// from one call to the next.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if let Event::TimerFired { token } = event {
            if !self.wakeup.timer_fired(token) {
                return;
            }
        }
        self.apply(now, event);
        if now - self.shares_updated_at >= self.share_update_interval {
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
        if may_free_capacity(&event) {
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
        if self.subscription.record_update(&self.config, now, update, &mut self.random) {
            self.schedule_subscription_call();
            self.log.push(now, LogEvent::SubscriptionLost, &mut self.actions);
        }
        if self.fleet.apply(update, list) {
            self.fleet.prune();
            self.update_shares(now);
        }
    }

    fn shutdown_started(&mut self, now: Time, deadline: Time) {
        for request in self.requests.values_mut() {
            request.cap_deadline(deadline);
        }
        self.wakeup.schedule(now);
    }

    /// Runs what is due without an event: discovery calls, checks of attempts, backends and requests.
    fn run_due_work(&mut self, now: Time) {
        if self.subscription.take_due_call(self.config.discovery, now) {
            self.actions.push(Action::Resubscribe);
        }
        self.schedule_subscription_call();
        self.count_slow_attempts(now);
        self.find_unresponsive_backends(now);
        self.check_requests(now);
    }

    fn schedule_subscription_call(&mut self) {
        if let Some(at) = self.subscription.next_call() {
            self.wakeup.schedule(at);
        }
    }
}

/// Whether a queued request that found no capacity may find some after the event.
fn may_free_capacity(event: &Event) -> bool {
    !matches!(event, Event::RequestArrived(_) | Event::TimerFired { .. })
}

fn shortest_objective(classes: &[Class]) -> Micros {
    classes.iter().map(|class| class.latency_objective).min().unwrap_or_default()
}
