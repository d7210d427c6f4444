//! Hollow proxies: the real decisions and the real watch on discovery, hundreds in one process, without sockets to
//! clients or backends. Arrivals are drawn, and attempts go to the backends' model in memory.

use crate::backends::{BackendFleet, Reception};
use crate::local_runtime::spawn_local_runtime;
use crate::plan::Point;
use crate::platform::read_config;
use crate::random::{proxy_seed, Random};
use crate::site_settings::{proxy_settings, STOP_SENDING_US};
use hdrhistogram::Histogram;
use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::{Target, Terms, Watch};
use load_balancer::*;
use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::JoinHandle;

/// Threads that share the proxies.
const THREADS: u32 = 6;
/// News of the list that a proxy may have before it; it takes them at once.
const NEWS: usize = 1_024;
/// An attempt that is turned away ends so soon.
const TURNED_AWAY: Micros = Micros(1_000);
/// Later than its deadline by so many ticks a request has no answer.
const GRACE_TICKS: u64 = 2;
/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// A connection to discovery that is not up after this time does not come up.
const DIAL: Duration = Duration::from_secs(1);

/// What all proxies counted.
#[derive(Clone)]
pub struct Sums {
    /// Requests that came to a proxy.
    pub planned: u64,
    /// Those served, refused and failed.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Those with no answer at their deadline.
    pub unanswered: u64,
    /// Those with more than one answer.
    pub answered_twice: u64,
    /// Those that came while a proxy had no list: a front would have sent them elsewhere.
    pub unready: u64,
    /// Those that a returning proxy left without an answer.
    pub cut: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Calls of discovery that were lost.
    pub lost_calls: u64,
    /// Time from arrival to answer less the backend's own, in microseconds.
    pub added: Histogram<u64>,
    /// From a proxy's start to its first list with something ready, in microseconds, since it was last cleared.
    pub ready: Histogram<u64>,
}

impl Sums {
    fn new() -> Result<Sums, String> {
        let empty = || Histogram::new_with_bounds(1, LONGEST_US, 3).map_err(|e| format!("a histogram: {e}"));
        Ok(Sums {
            planned: 0,
            served: 0,
            refused: 0,
            failed: 0,
            unanswered: 0,
            answered_twice: 0,
            unready: 0,
            cut: 0,
            attempts: 0,
            lost_calls: 0,
            added: empty()?,
            ready: empty()?,
        })
    }
}

/// What the proxies are to do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Rest,
    /// Requests come until then.
    Load(Instant),
    End,
}

/// All proxies of a point; dropping them ends their threads.
pub struct Proxies {
    sums: Arc<Mutex<Sums>>,
    phase: watch::Sender<Phase>,
    address: watch::Sender<SocketAddr>,
    /// Counts how often all have returned.
    returns: watch::Sender<u32>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// What each proxy is given.
#[derive(Clone)]
struct Shared {
    point: Point,
    fleet: Arc<BackendFleet>,
    /// The number of a backend by its id.
    numbers: Arc<HashMap<BackendId, usize>>,
    sums: Arc<Mutex<Sums>>,
    phase: watch::Receiver<Phase>,
    address: watch::Receiver<SocketAddr>,
    returns: watch::Receiver<u32>,
}

impl Proxies {
    /// Starts all of them before this discovery.
    pub fn start(
        p: &Point, fleet: &Arc<BackendFleet>, numbers: HashMap<BackendId, usize>, discovery: SocketAddr,
    ) -> Result<Proxies, String> {
        let sums = Arc::new(Mutex::new(Sums::new()?));
        let (phase, phases) = watch::channel(Phase::Rest);
        let (address, addresses) = watch::channel(discovery);
        let (returns, returned) = watch::channel(0);
        let shared = Shared {
            point: p.clone(),
            fleet: fleet.clone(),
            numbers: Arc::new(numbers),
            sums: sums.clone(),
            phase: phases,
            address: addresses,
            returns: returned,
        };
        let mut threads = Vec::new();
        for thread in 0..THREADS {
            let shared = shared.clone();
            let spawned = spawn_local_runtime("hollow", move || run_share(thread, shared));
            threads.push(spawned.map_err(|e| e.to_string())?);
        }
        Ok(Proxies { sums, phase, address, returns, threads })
    }

    /// What they counted so far.
    pub fn sums(&self) -> Sums {
        lock(&self.sums).clone()
    }

    /// Tells all of them that discovery has moved.
    pub fn move_discovery(&self, to: SocketAddr) {
        self.address.send_replace(to);
    }

    /// All end and come back at once, without a list.
    pub fn return_all(&self) {
        lock(&self.sums).ready.clear();
        self.returns.send_modify(|n| *n += 1);
    }

    /// Requests come for so long.
    pub fn load(&self, lasts: Duration) {
        self.phase.send_replace(Phase::Load(Instant::now() + lasts));
    }

    /// They end once nothing is out.
    pub fn end(&self) {
        self.phase.send_replace(Phase::End);
    }

    /// Whether all have ended.
    pub fn ended(&self) -> bool {
        self.threads.iter().all(std::thread::JoinHandle::is_finished)
    }
}

fn lock(sums: &Mutex<Sums>) -> MutexGuard<'_, Sums> {
    sums.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run_share(thread: u32, shared: Shared) {
    let mut running = tokio::task::JoinSet::new();
    for position in (thread..shared.point.proxies).step_by(THREADS as usize) {
        match Proxy::new(position, shared.clone()) {
            Ok(proxy) => {
                running.spawn_local(proxy.run());
            }
            Err(e) => tracing::error!("proxy {position}: {e}"),
        }
    }
    while running.join_next().await.is_some() {}
}

/// Time for the decisions: Unix microseconds, carried on by the monotonic clock.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    unix: u64,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as u64 }
    }
    fn at(&self, instant: Instant) -> Time {
        Time(self.unix + instant.saturating_duration_since(self.start).as_micros() as u64)
    }
    fn instant(&self, at: Time) -> Instant {
        self.start + Duration::from_micros(at.0.saturating_sub(self.unix))
    }
}

/// A request that is not over.
struct Open {
    came: Time,
    deadline: Time,
    count: u32,
    /// When each attempt that is out was sent.
    out: HashMap<AttemptNumber, Time>,
    settled: bool,
}

/// The end of an attempt that is out: when, which, how, and how long the backend took.
type End = (Time, RequestId, AttemptNumber, bool, Micros);

struct Proxy {
    shared: Shared,
    config: Config,
    position: u32,
    clock: Clock,
    random: Random,
    balancer: Balancer,
    started: Instant,
    /// Something in its list is ready.
    ready: bool,
    listed: HashSet<BackendId>,
    open: HashMap<RequestId, Open>,
    next: u64,
    arrival: Option<Time>,
    ends: BinaryHeap<Reverse<End>>,
    deadlines: BTreeSet<(Time, RequestId)>,
    timers: BinaryHeap<Reverse<(Time, TimerToken)>>,
    events: Vec<Event>,
    turn: Time,
    follow: Rc<Notify>,
    news: News,
    watching: JoinHandle<()>,
}

/// News of the list on its way from the watch to its proxy.
type News = mpsc::Receiver<(EndpointListUpdate, Vec<Target>)>;

/// Starts the watch of a proxy.
fn watch_list(config: &Config, shared: &Shared, clock: Clock) -> (Rc<Notify>, News, JoinHandle<()>) {
    let (follow, (tell, news)) = (Rc::new(Notify::new()), mpsc::channel(NEWS));
    let terms = Terms {
        dial_timeout: DIAL,
        stop_sending: Duration::from_micros(STOP_SENDING_US),
        place: f64::from(config.proxy_index) / f64::from(config.proxy_count),
    };
    let watch = Watch {
        address: shared.address.clone(),
        mode: config.discovery,
        terms: Rc::new(Cell::new(terms)),
        index: None,
        follow: follow.clone(),
        now: Box::new(move || clock.at(Instant::now())),
        starts: StartTimes::default(),
        tell: Box::new(move |update, targets| {
            if tell.try_send((update, targets)).is_err() {
                tracing::error!("a proxy does not take its news");
            }
        }),
    };
    (follow, news, tokio::task::spawn_local(watch.run()))
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.watching.abort();
    }
}

impl Proxy {
    fn new(position: u32, shared: Shared) -> Result<Proxy, String> {
        let config = read_config(&proxy_settings(&shared.point, position)).map_err(|e| e.to_string())?;
        let seed = proxy_seed(shared.point.seed, position);
        let clock = Clock::new();
        let (follow, news, watching) = watch_list(&config, &shared, clock);
        Ok(Proxy {
            balancer: Balancer::new(config.clone(), seed).map_err(|e| e.to_string())?,
            config,
            position,
            clock,
            random: Random::new(seed),
            started: Instant::now(),
            ready: false,
            listed: HashSet::new(),
            open: HashMap::new(),
            next: 0,
            arrival: None,
            ends: BinaryHeap::new(),
            deadlines: BTreeSet::new(),
            timers: BinaryHeap::new(),
            // The start is told like a list from before, an empty one: only then do the decisions ask for a list.
            events: vec![Event::EndpointListChanged {
                update: EndpointListUpdate::Cached,
                backends: Vec::new(),
            }],
            turn: Time(0),
            follow,
            news,
            watching,
            shared,
        })
    }

    fn now(&self) -> Time {
        self.clock.at(Instant::now())
    }

    /// Runs until it is told to end and nothing is out.
    async fn run(mut self) {
        let (mut phase, mut returns) = (self.shared.phase.clone(), self.shared.returns.clone());
        loop {
            let wake = tokio::time::Instant::from_std(self.clock.instant(self.wake()));
            tokio::select! {
                biased;
                changed = phase.changed() => match changed {
                    Ok(()) => self.begin(*phase.borrow_and_update()),
                    Err(_) => return,
                },
                Ok(()) = returns.changed() => {
                    let returned = *returns.borrow_and_update();
                    self = match self.again(returned) {
                        Ok(again) => again,
                        Err(e) => return tracing::error!("a return: {e}"),
                    };
                }
                Some((update, targets)) = self.news.recv() => self.list(update, targets),
                () = tokio::time::sleep_until(wake) => {}
            }
            self.step();
            if *self.shared.phase.borrow() == Phase::End && self.open.values().all(|o| o.settled) {
                return;
            }
        }
    }

    fn begin(&mut self, phase: Phase) {
        if let Phase::Load(_) = phase {
            self.arrival = Some(self.now());
            self.plan_next();
        }
    }

    /// Comes back as a new process would; arrivals go on.
    fn again(self, returned: u32) -> Result<Proxy, String> {
        let cut = self.open.values().filter(|o| !o.settled).count() as u64;
        lock(&self.shared.sums).cut += cut;
        let shared = self.shared.clone();
        let point =
            Point { seed: shared.point.seed.wrapping_add(u64::from(returned)), ..shared.point.clone() };
        let mut again = Proxy::new(self.position, Shared { point, ..shared })?;
        again.arrival = self.arrival.map(|_| again.now());
        Ok(again)
    }

    /// When time alone next brings something about: on the grid of ticks, but for an end, which is answered at once.
    fn wake(&self) -> Time {
        let never = Time(u64::MAX);
        let timer = self.timers.peek().map_or(never, |t| t.0 .0);
        let arrival = self.arrival.unwrap_or(never);
        let deadline = self.deadlines.first().map_or(never, |d| d.0);
        let end = self.ends.peek().map_or(never, |e| e.0 .0);
        let pending = if self.events.is_empty() { never } else { self.turn };
        let hour = self.now() + Micros(3_600_000_000);
        timer.min(arrival).min(pending).max(self.turn).min(deadline).min(end).min(hour)
    }

    fn step(&mut self) {
        let now = self.now();
        self.end_attempts(now);
        self.expire(now);
        self.arrive(now);
        if now >= self.turn {
            self.act(now);
        }
    }

    fn list(&mut self, update: EndpointListUpdate, targets: Vec<Target>) {
        match update {
            EndpointListUpdate::SubscriptionLost => lock(&self.shared.sums).lost_calls += 1,
            EndpointListUpdate::Snapshot | EndpointListUpdate::Cached => self.listed.clear(),
            EndpointListUpdate::Delta => {}
        }
        for target in &targets {
            match target.backend.state {
                BackendState::Ready => self.listed.insert(target.backend.id),
                BackendState::Draining | BackendState::Removed => self.listed.remove(&target.backend.id),
            };
        }
        if !self.ready && !self.listed.is_empty() {
            self.ready = true;
            lock(&self.shared.sums).ready.saturating_record(self.started.elapsed().as_micros() as u64);
        }
        let backends = targets.into_iter().map(|t| t.backend).collect();
        self.events.push(Event::EndpointListChanged { update, backends });
    }

    fn plan_next(&mut self) {
        let per_s = self.shared.point.rate_per_s / f64::from(self.shared.point.proxies);
        let wait = Micros(self.random.interarrival_time(per_s).as_micros() as u64);
        let until = match *self.shared.phase.borrow() {
            Phase::Load(until) => self.clock.at(until),
            Phase::Rest | Phase::End => Time(0),
        };
        self.arrival = self.arrival.map(|at| at + wait).filter(|at| *at < until);
    }

    /// Takes what has come since the last step.
    fn arrive(&mut self, now: Time) {
        while let Some(came) = self.arrival.filter(|at| *at <= now) {
            self.plan_next();
            if !self.ready {
                lock(&self.shared.sums).unready += 1;
                continue;
            }
            lock(&self.shared.sums).planned += 1;
            self.next += 1;
            let request = RequestId(self.next);
            let deadline = came + Micros(self.shared.point.deadline_ms * 1_000);
            let class = ClassId(self.random.below(self.shared.point.classes) as usize);
            let tenants = self.shared.point.tenants;
            let tenant = (tenants > 0).then(|| TenantId(self.random.below(tenants) as usize));
            let (time_left, work_hint, repeat) = (deadline - now, None, false);
            self.events.push(Event::RequestArrived(RequestArrival {
                request,
                class,
                tenant,
                time_left,
                expected_work: work_hint,
                is_client_retry: repeat,
            }));
            self.deadlines.insert((deadline, request));
            let open = Open { came, deadline, count: 0, out: HashMap::new(), settled: false };
            self.open.insert(request, open);
        }
    }

    fn end_attempts(&mut self, now: Time) {
        while let Some(Reverse((at, request, attempt, served, own))) = self.ends.peek().copied() {
            if at > now {
                return;
            }
            self.ends.pop();
            let Some(open) = self.open.get_mut(&request) else { continue };
            let Some(sent) = open.out.remove(&attempt) else { continue };
            let came = open.came;
            if served && !std::mem::replace(&mut open.settled, true) {
                let mut sums = lock(&self.shared.sums);
                sums.served += 1;
                sums.added.saturating_record((now - came).0.saturating_sub(own.0));
            }
            let outcome = if served { Outcome::Success } else { Outcome::Rejected };
            self.ended(request, attempt, outcome, now - sent);
        }
    }

    fn ended(&mut self, request: RequestId, attempt: AttemptNumber, outcome: Outcome, latency: Micros) {
        let settled = self.open.get(&request).is_none_or(|o| o.settled);
        self.events.push(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome,
            latency,
            answered: settled,
        }));
    }

    /// At its deadline what is out of a request has timed out; some ticks later it must have had its answer.
    fn expire(&mut self, now: Time) {
        let grace = Micros(GRACE_TICKS * self.config.tick.0);
        while let Some((at, request)) = self.deadlines.first().copied().filter(|d| d.0 <= now) {
            self.deadlines.pop_first();
            let Some(open) = self.open.get_mut(&request) else { continue };
            if at > open.deadline {
                if !std::mem::replace(&mut open.settled, true) {
                    lock(&self.shared.sums).unanswered += 1;
                    self.events.push(Event::ClientDisconnected { request });
                }
                self.open.remove(&request);
                continue;
            }
            // By the clock of the turns: the decisions need one after the deadline.
            self.deadlines.insert((now.max(self.turn) + grace + grace, request));
            let out: Vec<(AttemptNumber, Time)> = open.out.drain().collect();
            for (attempt, sent) in out {
                self.ended(request, attempt, Outcome::TimedOut, now - sent);
            }
        }
    }

    /// The decisions' turn: all that has come in since the last one.
    fn act(&mut self, now: Time) {
        while let Some(Reverse((_, token))) = self.timers.peek().copied().filter(|t| t.0 .0 <= now) {
            self.timers.pop();
            self.events.push(Event::TimerFired { token });
        }
        if self.events.is_empty() {
            return;
        }
        self.turn = Time(now.0 - now.0 % self.config.tick.0) + self.config.tick;
        let mut actions = Vec::new();
        for mut event in std::mem::take(&mut self.events) {
            if let Event::RequestArrived(new) = &mut event {
                new.time_left = self.open.get(&new.request).map_or(Micros(0), |o| o.deadline - now);
            }
            self.balancer.handle(now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.carry_out(now, action);
            }
        }
    }

    fn carry_out(&mut self, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend, .. } => self.dispatch(now, request, backend),
            Action::Reject { request } => self.settle(request, |sums| sums.refused += 1),
            Action::Fail { request } => self.settle(request, |sums| sums.failed += 1),
            Action::CancelAttempt { request, attempt } => {
                let Some(sent) = self.open.get_mut(&request).and_then(|o| o.out.remove(&attempt)) else {
                    return;
                };
                self.ended(request, attempt, Outcome::Cancelled, now - sent);
            }
            Action::SetTimer { token, delay } => self.timers.push(Reverse((now + delay, token))),
            Action::Resubscribe => self.follow.notify_one(),
            Action::Log(text) => tracing::debug!("proxy {}: {text}", self.position),
        }
    }

    fn settle(&mut self, request: RequestId, count: impl FnOnce(&mut Sums)) {
        let Some(open) = self.open.get_mut(&request) else { return };
        match std::mem::replace(&mut open.settled, true) {
            false => count(&mut lock(&self.shared.sums)),
            true => lock(&self.shared.sums).answered_twice += 1,
        }
    }

    fn dispatch(&mut self, now: Time, request: RequestId, backend: BackendId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = AttemptNumber(open.count);
        open.count += 1;
        let goes = !open.settled && open.deadline > now && self.listed.contains(&backend);
        let Some(number) = self.shared.numbers.get(&backend).filter(|_| goes) else {
            return self.ended(request, attempt, Outcome::NotSent, Micros(0));
        };
        open.out.insert(attempt, now);
        lock(&self.shared.sums).attempts += 1;
        let (takes, served) = match self.shared.fleet.request_arrived(*number, Instant::now()) {
            Reception::Served(work) => (Micros(work.as_micros() as u64), true),
            Reception::Rejected => (TURNED_AWAY, false),
        };
        self.ends.push(Reverse((now + takes, request, attempt, served, takes)));
    }
}
