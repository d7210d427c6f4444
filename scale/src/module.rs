//! The bare decisions, no sockets at all: time for a request and for a changed line, over several seeds.

use crate::endpoint_list::EndpointList;
use crate::naming::backend_address;
use crate::plan::Point;
use crate::platform::{read_config, read_endpoint_list};
use crate::point_result::{Figure, PointResult};
use crate::random::Random;
use crate::site_settings::proxy_settings;
use load_balancer::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant;

/// Requests that warm the module up, and those that are measured.
const WARM: u32 = 5_000;
const MEASURED: u32 = 20_000;
/// Lines that change one at a time, each followed by a request so that its work is not put off, and beside a request
/// that no change went before: the two differ by the change alone, while what else the machine does hits both.
const CHANGES: u32 = 5_000;

/// What one seed gave, in microseconds.
struct Times {
    start: f64,
    request: f64,
    line: f64,
}

/// Plays a point: the median over the seeds, with the least and the most.
pub fn play(p: &Point) -> Result<PointResult, String> {
    let times =
        (0..u64::from(p.seeds)).map(|n| one(p, p.seed + n)).collect::<Result<Vec<Times>, String>>()?;
    let spread = |of: fn(&Times) -> f64| {
        let mut all: Vec<f64> = times.iter().map(of).collect();
        all.sort_by(f64::total_cmp);
        (all.first().copied(), all.get(all.len() / 2).copied(), all.last().copied())
    };
    let (start, request, line) = (spread(|t| t.start), spread(|t| t.request), spread(|t| t.line));
    let figures = vec![
        Figure::new("whole_list_us", start.1),
        Figure::new("whole_list_least_us", start.0),
        Figure::new("whole_list_most_us", start.2),
        Figure::new("request_us", request.1),
        Figure::new("request_least_us", request.0),
        Figure::new("request_most_us", request.2),
        Figure::new("changed_line_us", line.1),
        Figure::new("changed_line_least_us", line.0),
        Figure::new("changed_line_most_us", line.2),
    ];
    Ok(PointResult { label: p.label.clone(), size: 0.0, figures, checks: Vec::new() })
}

fn one(p: &Point, seed: u64) -> Result<Times, String> {
    let config = read_config(&proxy_settings(p, 0)).map_err(|e| e.to_string())?;
    let addresses: Vec<_> = (0..p.backends).map(|n| backend_address(n, 80)).collect();
    let whole: serde_json::Value =
        serde_json::from_slice(&EndpointList::new(p, &addresses).response(None).body)
            .map_err(|e| format!("the list: {e}"))?;
    let backends = read_endpoint_list(&whole).map_err(|e| e.to_string())?;
    let mut bench = Bench::new(p, config, seed)?;
    let event =
        Event::EndpointListChanged { update: EndpointListUpdate::Snapshot, backends: backends.clone() };
    let start = bench.timed(|b| b.event(event));
    (0..WARM).for_each(|_| bench.request());
    let request = bench.timed(|b| (0..MEASURED).for_each(|_| b.request())) / f64::from(MEASURED);
    // A line changes when its backend begins to drain, and again when it is back: each time the shares are solved anew.
    let mut line = 0.0;
    for (n, entry) in backends.iter().cycle().take(CHANGES as usize).enumerate() {
        let states = [BackendState::Draining, BackendState::Ready];
        for state in states {
            let changed = Backend { state, ..entry.clone() };
            let event =
                Event::EndpointListChanged { update: EndpointListUpdate::Delta, backends: vec![changed] };
            line += bench.timed(|b| b.event(event)) / states.len() as f64;
        }
        if n % 4 == 0 {
            bench.request();
        }
    }
    Ok(Times { start, request, line: line / f64::from(CHANGES) })
}

/// A request that is not over.
#[derive(Default)]
struct Open {
    /// Attempts so far, and those still out.
    count: u32,
    out: u32,
    settled: bool,
}

/// A host with a clock of its own: only what the module itself takes is measured, and its share of the host's work.
struct Bench {
    balancer: Balancer,
    tick: Micros,
    now: Time,
    random: Random,
    rate_per_s: f64,
    deadline: Micros,
    service: Micros,
    classes: u32,
    tenants: u32,
    next: u64,
    open: HashMap<RequestId, Open>,
    /// Attempts that are out, by their end: request, attempt and when it was sent.
    out: BinaryHeap<Reverse<(Time, RequestId, AttemptNumber, Time)>>,
    timers: BinaryHeap<Reverse<(Time, TimerToken)>>,
    actions: Vec<Action>,
}

impl Bench {
    fn new(p: &Point, config: Config, seed: u64) -> Result<Bench, String> {
        Ok(Bench {
            tick: config.tick,
            balancer: Balancer::new(config, seed).map_err(|e| e.to_string())?,
            now: Time(1_000_000_000),
            random: Random::new(seed),
            rate_per_s: p.rate_per_s,
            deadline: Micros(p.deadline_ms * 1_000),
            service: Micros::from_secs(p.service_ms / 1e3),
            classes: p.classes,
            tenants: p.tenants,
            next: 0,
            open: HashMap::new(),
            out: BinaryHeap::new(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
        })
    }

    /// The time that some work takes, in microseconds.
    fn timed(&mut self, work: impl FnOnce(&mut Bench)) -> f64 {
        let start = Instant::now();
        work(self);
        start.elapsed().as_secs_f64() * 1e6
    }

    fn event(&mut self, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Dispatch { request, .. } => self.dispatch(request),
                Action::Reject { request } | Action::Fail { request } => self.settle(request),
                Action::SetTimer { token, delay } => {
                    let due = self.now + Micros(delay.0.max(self.tick.0));
                    self.timers.push(Reverse((due, token)));
                }
                _ => {}
            }
        }
        self.actions = actions;
    }

    /// Lets time go on to the next arrival, ends what ends before it, and hands the request over.
    fn request(&mut self) {
        let arrival = self.now + Micros(self.random.interarrival_time(self.rate_per_s).as_micros() as u64);
        self.pass(arrival);
        self.next += 1;
        let class = ClassId(self.random.below(self.classes) as usize);
        let tenant = (self.tenants > 0).then(|| TenantId(self.random.below(self.tenants) as usize));
        self.open.insert(RequestId(self.next), Open::default());
        self.event(Event::RequestArrived(RequestArrival {
            request: RequestId(self.next),
            class,
            tenant,
            time_left: self.deadline,
            expected_work: None,
            is_client_retry: false,
        }));
    }

    /// Everything that falls due until then, in order.
    fn pass(&mut self, until: Time) {
        loop {
            let answer = self.out.peek().map_or(Time(u64::MAX), |o| o.0 .0);
            let timer = self.timers.peek().map_or(Time(u64::MAX), |t| t.0 .0);
            if answer.min(timer) > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(answer.min(timer));
            if answer <= timer {
                self.answer();
            } else if let Some(Reverse((_, token))) = self.timers.pop() {
                self.event(Event::TimerFired { token });
            }
        }
    }

    fn dispatch(&mut self, request: RequestId) {
        let end = self.now + self.service.times(0.5 + self.random.unit());
        let Some(open) = self.open.get_mut(&request) else { return };
        self.out.push(Reverse((end, request, AttemptNumber(open.count), self.now)));
        open.count += 1;
        open.out += 1;
    }

    fn settle(&mut self, request: RequestId) {
        let over = self.open.get_mut(&request).is_some_and(|open| {
            open.settled = true;
            open.out == 0
        });
        if over {
            self.open.remove(&request);
        }
    }

    /// Ends the attempt that is next to end; one that was called off ends in its time all the same.
    fn answer(&mut self) {
        let Some(Reverse((_, request, attempt, sent))) = self.out.pop() else { return };
        if let Some(open) = self.open.get_mut(&request) {
            open.out -= 1;
        }
        let (outcome, latency) = (Outcome::Success, self.now - sent);
        self.event(Event::AttemptEnded(AttemptResult { request, attempt, outcome, latency, answered: true }));
        self.settle(request);
    }
}
