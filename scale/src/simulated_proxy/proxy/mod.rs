//! One simulated proxy: a balancer, with the code that feeds it events and executes its actions.

mod arrivals;
mod attempts;
mod deadlines;
mod decisions;

use super::clock::Clock;
use super::context::{ProxyActivity, ProxyContext};
use super::endpoint_watch::{EndpointListChange, EndpointWatch};
use super::error::SimulationError;
use crate::platform::read_config;
use crate::random::{proxy_seed, Random};
use crate::settings::proxy_settings;
use crate::timer_queue::TimerQueue;
use attempts::AttemptEnd;
use deadlines::Deadline;
use load_balancer::{
    AttemptNumber, BackendId, BackendState, Balancer, Config, EndpointListUpdate, Event, Micros, RequestId,
    Time,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::time::Instant;

/// Maximum sleep of a proxy without due work: one hour.
const MAX_SLEEP: Micros = Micros(3_600_000_000);

/// A request whose deadline and grace period have not ended yet.
struct OpenRequest {
    arrived_at: Time,
    deadline: Time,
    /// Number of attempts that the balancer requested.
    attempt_count: u32,
    /// Dispatch time of each attempt in flight.
    in_flight: HashMap<AttemptNumber, Time>,
    /// Whether the request has its final response.
    has_final_response: bool,
}

/// A simulated proxy.
pub(super) struct Proxy {
    context: ProxyContext,
    config: Config,
    proxy_index: u32,
    clock: Clock,
    random: Random,
    balancer: Balancer,
    started_at: Instant,
    /// Whether the proxy has received a list with a ready backend since its start.
    is_ready: bool,
    /// Backends that are ready according to the endpoint list.
    ready_backends: HashSet<BackendId>,
    requests: HashMap<RequestId, OpenRequest>,
    request_count: u64,
    next_arrival: Option<Time>,
    attempt_ends: BinaryHeap<Reverse<AttemptEnd>>,
    deadlines: BTreeSet<Deadline>,
    timers: TimerQueue,
    /// Events for the balancer, passed to it in the next tick.
    events: Vec<Event>,
    /// Earliest time of the next tick.
    next_tick: Time,
    endpoint_watch: EndpointWatch,
}

impl Proxy {
    /// Creates a proxy without an endpoint list and starts its watch. Must be called inside a `LocalSet`.
    pub fn new(proxy_index: u32, context: ProxyContext) -> Result<Proxy, SimulationError> {
        let config = read_config(&proxy_settings(&context.point, proxy_index))?;
        let seed = proxy_seed(context.point.seed, proxy_index);
        let clock = Clock::new();
        let endpoint_watch = EndpointWatch::spawn(&config, context.discovery.clone(), clock);
        Ok(Proxy {
            balancer: Balancer::new(config.clone(), seed)?,
            config,
            proxy_index,
            clock,
            random: Random::new(seed),
            started_at: Instant::now(),
            is_ready: false,
            ready_backends: HashSet::new(),
            requests: HashMap::new(),
            request_count: 0,
            next_arrival: None,
            attempt_ends: BinaryHeap::new(),
            deadlines: BTreeSet::new(),
            timers: TimerQueue::default(),
            // An empty cached list: the balancer only requests a subscription after it received a list.
            events: vec![Event::EndpointListChanged {
                update: EndpointListUpdate::Cached,
                backends: Vec::new(),
            }],
            next_tick: Time(0),
            endpoint_watch,
            context,
        })
    }

    /// Runs until the fleet shuts down and every request has its final response.
    pub async fn run(mut self) {
        let mut activity = self.context.activity.clone();
        let mut restarts = self.context.restarts.clone();
        loop {
            let wakeup = tokio::time::Instant::from_std(self.clock.instant_of(self.next_wakeup()));
            tokio::select! {
                biased;
                changed = activity.changed() => match changed {
                    Ok(()) => self.activity_changed(*activity.borrow_and_update()),
                    Err(_) => return,
                },
                Ok(()) = restarts.changed() => {
                    let count = *restarts.borrow_and_update();
                    self = match self.restart(count) {
                        Ok(restarted) => restarted,
                        Err(error) => return tracing::error!("cannot restart a simulated proxy: {error}"),
                    };
                }
                Some(change) = self.endpoint_watch.next_change() => self.endpoint_list_changed(change),
                () = tokio::time::sleep_until(wakeup) => {}
            }
            self.run_due_work();
            if *self.context.activity.borrow() == ProxyActivity::Shutdown && self.all_have_final_response() {
                return;
            }
        }
    }

    fn all_have_final_response(&self) -> bool {
        self.requests.values().all(|request| request.has_final_response)
    }

    fn activity_changed(&mut self, activity: ProxyActivity) {
        if let ProxyActivity::Load { .. } = activity {
            self.next_arrival = Some(self.clock.now());
            self.schedule_next_arrival();
        }
    }

    /// Replaces the proxy by a new one without a list, as a restart of the process would, with a different
    /// seed for each restart. Arrivals continue.
    fn restart(self, restart_count: u32) -> Result<Proxy, SimulationError> {
        let dropped_at_restart = self.requests.values().filter(|request| !request.has_final_response).count();
        self.context.counters.lock().dropped_at_restart += dropped_at_restart as u64;
        let mut context = self.context.clone();
        context.point.seed = context.point.seed.wrapping_add(u64::from(restart_count));
        let mut restarted = Proxy::new(self.proxy_index, context)?;
        restarted.next_arrival = self.next_arrival.map(|_| restarted.clock.now());
        Ok(restarted)
    }

    /// Returns the time of the next due work. Timers, arrivals and queued events wait for the next tick; ends
    /// of attempts and deadlines do not.
    fn next_wakeup(&self) -> Time {
        let events = if self.events.is_empty() { Time::NEVER } else { self.next_tick };
        let arrival = self.next_arrival.unwrap_or(Time::NEVER);
        let decisions = self.timers.next_due().min(arrival).min(events).max(self.next_tick);
        let deadline = self.deadlines.first().map_or(Time::NEVER, |deadline| deadline.due_at);
        let attempt_end = self.attempt_ends.peek().map_or(Time::NEVER, |Reverse(end)| end.due_at);
        decisions.min(deadline).min(attempt_end).min(self.clock.now() + MAX_SLEEP)
    }

    fn run_due_work(&mut self) {
        let now = self.clock.now();
        self.end_due_attempts(now);
        self.expire_deadlines(now);
        self.receive_due_requests(now);
        if now >= self.next_tick {
            self.run_tick(now);
        }
    }

    fn endpoint_list_changed(&mut self, change: EndpointListChange) {
        let EndpointListChange { update, backends } = change;
        match update {
            EndpointListUpdate::SubscriptionLost => self.context.counters.lock().subscriptions_lost += 1,
            EndpointListUpdate::Snapshot | EndpointListUpdate::Cached => self.ready_backends.clear(),
            EndpointListUpdate::Delta => {}
        }
        for backend in &backends {
            match backend.state {
                BackendState::Ready => self.ready_backends.insert(backend.id),
                BackendState::Draining | BackendState::Removed => self.ready_backends.remove(&backend.id),
            };
        }
        if !self.is_ready && !self.ready_backends.is_empty() {
            self.is_ready = true;
            let time_to_ready_us = self.started_at.elapsed().as_micros() as u64;
            self.context.counters.lock().time_to_ready.record_us(time_to_ready_us);
        }
        self.events.push(Event::EndpointListChanged { update, backends });
    }
}
