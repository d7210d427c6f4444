//! Hollow backends: they work on nothing, take their time for it and count what reaches them.

use crate::site_settings::{
    OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_US, SLOW_START_INITIAL_FRACTION, SLOW_START_US, STOP_SENDING_US,
};
use crate::wire;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The longest body of a request.
const BODY_BYTES: usize = 64 << 10;

/// What becomes of a request that reaches a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reception {
    /// It is served after this time.
    Serve(Duration),
    /// The backend drains or is gone: turned away unseen.
    TurnAway,
}

/// How the backends behave, and what their limits count from.
#[derive(Clone, Copy, Debug)]
pub struct Nature {
    /// Mean time of a request.
    pub service: Duration,
    /// Requests a second that a warm one can serve.
    pub capacity_per_s: f64,
    /// Beyond the rule's time a send to one that drains may be so late.
    pub drain_slack: Duration,
}

/// One backend.
#[derive(Default)]
struct Backend {
    /// Since when it drains.
    draining: Option<Instant>,
    /// When it last started, where that matters.
    started: Option<Instant>,
    /// What reached it in the window in which too much makes it fall; kept only while it is cold.
    recent: VecDeque<Instant>,
}

/// What all of them counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    /// Connections that came up.
    pub connections: u64,
    /// Requests that reached them.
    pub reached: u64,
    /// Those turned away.
    pub turned_away: u64,
    /// Those that reached one later after it began to drain than the rule and the slack allow.
    pub late: u64,
    /// The worst sum at a cold one over its limit.
    pub cold: f64,
}

/// All backends of a point.
pub struct Fleet {
    nature: Nature,
    held: Mutex<Held>,
}

struct Held {
    backends: Vec<Backend>,
    dice: Pcg32,
    counts: Counts,
}

impl Fleet {
    /// So many backends, warm and ready.
    pub fn new(count: usize, nature: Nature, seed: u64) -> Fleet {
        let backends = std::iter::repeat_with(Backend::default).take(count).collect();
        let held = Held { backends, dice: Pcg32::seed_from_u64(seed), counts: Counts::default() };
        Fleet { nature, held: Mutex::new(held) }
    }

    fn with<T>(&self, work: impl FnOnce(&mut Held) -> T) -> T {
        work(&mut self.held.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A backend begins to drain.
    pub fn drain(&self, backend: usize) {
        self.with(|held| held.backends[backend].draining = Some(Instant::now()));
    }

    /// A backend starts again, cold.
    pub fn start(&self, backend: usize) {
        let started = Some(Instant::now());
        self.with(|held| held.backends[backend] = Backend { started, ..Backend::default() });
    }

    /// What they counted so far.
    pub fn counts(&self) -> Counts {
        self.with(|held| held.counts)
    }

    /// A connection to a backend has come up.
    fn connected(&self) {
        self.with(|held| held.counts.connections += 1);
    }

    /// A request has reached a backend.
    pub fn arrive(&self, backend: usize, now: Instant) -> Reception {
        let nature = &self.nature;
        self.with(|held| {
            held.counts.reached += 1;
            let b = &mut held.backends[backend];
            held.counts.cold = held.counts.cold.max(b.cold_sum(now, nature.capacity_per_s));
            if let Some(since) = b.draining {
                let allowed = Duration::from_micros(STOP_SENDING_US) + nature.drain_slack;
                held.counts.turned_away += 1;
                held.counts.late += u64::from(now.saturating_duration_since(since) > allowed);
                return Reception::TurnAway;
            }
            // From half to three halves of the mean.
            let part = 0.5 + f64::from(held.dice.next_u32()) / f64::from(u32::MAX);
            Reception::Serve(nature.service.mul_f64(part))
        })
    }
}

impl Backend {
    /// Counts an arrival; while the backend is cold, the sum over the window that ends now as a part of its limit.
    fn cold_sum(&mut self, now: Instant, capacity_per_s: f64) -> f64 {
        let Some(started) = self.started else { return 0.0 };
        let age = now.saturating_duration_since(started);
        if age >= Duration::from_micros(SLOW_START_US) {
            (self.started, self.recent) = (None, VecDeque::new());
            return 0.0;
        }
        let window = Duration::from_micros(OVERLOAD_WINDOW_US);
        while self.recent.front().is_some_and(|t| now.saturating_duration_since(*t) >= window) {
            self.recent.pop_front();
        }
        self.recent.push_back(now);
        self.recent.len() as f64 / cold_limit(age.saturating_sub(window / 2), capacity_per_s)
    }
}

/// The most that may reach a cold backend in a window around an age: what it can bear, and chance.
pub fn cold_limit(age: Duration, capacity_per_s: f64) -> f64 {
    let warmth = SLOW_START_INITIAL_FRACTION
        + (1.0 - SLOW_START_INITIAL_FRACTION) * (age.as_secs_f64() * 1e6 / SLOW_START_US as f64).min(1.0);
    let bears = OVERLOAD_MULTIPLE * warmth * capacity_per_s * OVERLOAD_WINDOW_US as f64 / 1e6;
    bears + 2.0 * bears.sqrt() + 2.0
}

/// Listeners of all backends, each on an address of its own.
pub fn listen(count: u32) -> Result<(Vec<TcpListener>, Vec<SocketAddr>), String> {
    let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
    for number in 0..count {
        let address = crate::naming::backend_address(number, 0);
        let told = |e: std::io::Error| format!("backend {number}: listen on {address}: {e}");
        let listener = TcpListener::bind(address).map_err(told)?;
        listener.set_nonblocking(true).map_err(told)?;
        addresses.push(listener.local_addr().map_err(told)?);
        listeners.push(listener);
    }
    Ok((listeners, addresses))
}

/// Threads that share the backends.
const THREADS: usize = 2;

/// Serves all listeners on threads of their own until the sender of the ending is dropped.
pub fn serve(
    fleet: &Arc<Fleet>, listeners: Vec<TcpListener>, ending: &tokio::sync::watch::Receiver<()>,
) -> Result<(), String> {
    let mut shares: Vec<Vec<(usize, TcpListener)>> = Vec::new();
    shares.resize_with(THREADS, Vec::new);
    for (number, listener) in listeners.into_iter().enumerate() {
        shares[number % THREADS].push((number, listener));
    }
    for share in shares {
        let (fleet, mut ending) = (fleet.clone(), ending.clone());
        wire::thread("backends", move || async move {
            for (number, listener) in share {
                tokio::task::spawn_local(accept(fleet.clone(), number, listener));
            }
            // Only the end of its sender ends this.
            while ending.changed().await.is_ok() {}
        })?;
    }
    Ok(())
}

async fn accept(fleet: Arc<Fleet>, number: usize, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return tracing::error!("backend {number}: {e}"),
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                fleet.connected();
                tokio::task::spawn_local(converse(fleet.clone(), number, stream));
            }
            Err(e) => {
                tracing::warn!("backend {number}: accept: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn converse(fleet: Arc<Fleet>, number: usize, stream: tokio::net::TcpStream) {
    let service = service_fn(|request| answer(fleet.clone(), number, request));
    if let Err(e) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!("backend {number}: a connection ended: {e}");
    }
}

/// Answers after its time; the body tells how long the backend itself took, in microseconds.
async fn answer(
    fleet: Arc<Fleet>, number: usize, request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, String> {
    let body = Limited::new(request.into_body(), BODY_BYTES).collect().await;
    body.map_err(|e| format!("a body: {e}"))?;
    let came = Instant::now();
    match fleet.arrive(number, came) {
        Reception::Serve(work) => {
            tokio::time::sleep(work).await;
            let own = came.elapsed().as_micros().to_string();
            Ok(Response::new(Full::new(Bytes::from(own))))
        }
        Reception::TurnAway => {
            let mut answer = Response::new(Full::new(Bytes::new()));
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            answer.headers_mut().insert("x-unprocessed", hyper::header::HeaderValue::from_static("1"));
            Ok(answer)
        }
    }
}
