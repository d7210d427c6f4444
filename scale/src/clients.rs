//! Open-loop clients: requests go out when they are planned, whatever became of those before, and their time counts
//! from the plan.

use crate::local_runtime::spawn_local_runtime;
use crate::naming::{class_name, is_idempotent, tenant_name};
use crate::plan::Point;
use crate::random::Random;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Requests that are due and not yet sent; more are counted as unsent.
const DUE: usize = 4_096;
/// Later than the deadline by this much no answer is waited for.
const PATIENCE: Duration = Duration::from_secs(1);
/// The longest answer that is read.
const ANSWER_BYTES: usize = 64 << 10;
/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What came of the requests.
#[derive(Clone)]
pub struct Tally {
    /// Those that were due.
    pub planned: u64,
    /// Those answered with 200.
    pub served: u64,
    /// Those answered with 429 or 503.
    pub refused: u64,
    /// Those answered otherwise.
    pub failed: u64,
    /// Those sent whole that never had an answer.
    pub lost: u64,
    /// Those that the clients could not send: no connection, or too many open.
    pub unsent: u64,
    /// Those sent once more, because their connection was closed as they went out on it.
    pub crossed: u64,
    /// Messages that nobody had asked for.
    pub strays: u64,
    /// Time from the planned send to the answer less the backend's own, in microseconds.
    pub added: Histogram<u64>,
    /// The longest time between two answers.
    pub pause: Duration,
    answered: Option<Instant>,
}

impl Tally {
    fn new() -> Result<Tally, String> {
        let added = Histogram::new_with_bounds(1, LONGEST_US, 3).map_err(|e| format!("a histogram: {e}"))?;
        Ok(Tally {
            planned: 0,
            served: 0,
            refused: 0,
            failed: 0,
            lost: 0,
            unsent: 0,
            crossed: 0,
            strays: 0,
            added,
            pause: Duration::ZERO,
            answered: None,
        })
    }

    /// Requests that a proxy took and for which it owed an answer.
    pub fn answered(&self) -> u64 {
        self.served + self.refused + self.failed
    }

    fn end(&mut self, planned: Instant, end: End) {
        let now = Instant::now();
        match end {
            End::Unsent => self.unsent += 1,
            End::Lost => self.lost += 1,
            End::Answered(status, own) => {
                self.pause = self.pause.max(self.answered.map_or(Duration::ZERO, |a| now - a));
                self.answered = Some(now);
                match status {
                    StatusCode::OK => {
                        self.served += 1;
                        let added = now.saturating_duration_since(planned).saturating_sub(own);
                        self.added.saturating_record(added.as_micros() as u64);
                    }
                    StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => self.refused += 1,
                    _ => self.failed += 1,
                }
            }
        }
    }
}

/// What came of one request.
enum End {
    /// Its status, and how long the backend took.
    Answered(StatusCode, Duration),
    Lost,
    Unsent,
}

/// A request that is due.
struct Due {
    proxy: usize,
    class: u32,
    tenant: Option<u32>,
    id: u64,
    planned: Instant,
}

/// Clients at work; they end by themselves.
pub struct Clients {
    tally: Arc<Mutex<Tally>>,
    /// All their threads.
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts them: Poisson arrivals over all proxies for the point's time.
    pub fn start(p: &Point, proxies: &[SocketAddr]) -> Result<Clients, String> {
        let tally = Arc::new(Mutex::new(Tally::new()?));
        let (sender, due) = mpsc::channel(DUE);
        let (counted, paced) = (tally.clone(), tally.clone());
        let pools: Vec<(SocketAddr, u32)> = proxies.iter().map(|a| (*a, p.connections)).collect();
        let deadline = Duration::from_millis(p.deadline_ms);
        let work = move || send_all(pools, due, deadline, counted);
        let sending = spawn_local_runtime("clients", work).map_err(|e| e.to_string())?;
        let (point, count) = (p.clone(), proxies.len());
        let pacing = std::thread::Builder::new().name("pace".into());
        let pacing = pacing.spawn(move || pace(&point, count, &sender, &paced));
        Ok(Clients { tally, threads: vec![sending, pacing.map_err(|e| format!("pace: thread: {e}"))?] })
    }

    /// Whether every request has come to its end.
    pub fn done(&self) -> bool {
        self.threads.iter().all(std::thread::JoinHandle::is_finished)
    }

    /// What came of the requests so far.
    pub fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }
}

fn lock(tally: &Mutex<Tally>) -> std::sync::MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Hands each request over when it is due; the runtime's timers are too coarse for that.
fn pace(p: &Point, proxies: usize, sender: &mpsc::Sender<Due>, tally: &Mutex<Tally>) {
    let mut random = Random::new(p.seed);
    let start = Instant::now();
    let mut at = Duration::ZERO;
    for id in 1_u64.. {
        at += random.interarrival_time(p.rate_per_s);
        if at.as_secs_f64() >= p.load_s {
            return;
        }
        let planned = start + at;
        std::thread::sleep(planned.saturating_duration_since(Instant::now()));
        let (proxy, class) = (random.below(proxies as u32) as usize, random.below(p.classes));
        let tenant = (p.tenants > 0).then(|| random.below(p.tenants));
        lock(tally).planned += 1;
        if sender.try_send(Due { proxy, class, tenant, id, planned }).is_err() {
            lock(tally).unsent += 1;
        }
    }
}

async fn send_all(
    proxies: Vec<(SocketAddr, u32)>, mut due: mpsc::Receiver<Due>, deadline: Duration,
    tally: Arc<Mutex<Tally>>,
) {
    let pool =
        |(address, most)| Rc::new(Pool { address, most, open: Cell::default(), idle: RefCell::default() });
    let pools: Vec<Rc<Pool>> = proxies.into_iter().map(pool).collect();
    let mut out = tokio::task::JoinSet::new();
    while let Some(due) = due.recv().await {
        let (pool, tally) = (pools[due.proxy].clone(), tally.clone());
        out.spawn_local(async move {
            let planned = due.planned;
            let limit = tokio::time::Instant::from_std(planned + deadline + PATIENCE);
            let end = tokio::time::timeout_at(limit, pool.ask(&due, deadline, &tally)).await;
            lock(&tally).end(planned, end.unwrap_or(End::Lost));
        });
        while out.try_join_next().is_some() {}
    }
    while out.join_next().await.is_some() {}
}

/// The connections of the clients of one proxy.
struct Pool {
    address: SocketAddr,
    most: u32,
    open: Cell<u32>,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl Pool {
    /// Sends a request; once more on a new connection where the close of an old one crossed it.
    async fn ask(self: Rc<Self>, due: &Due, deadline: Duration, tally: &Arc<Mutex<Tally>>) -> End {
        if let Some(held) = self.held() {
            match self.send(held, due, deadline).await {
                // Closed before anything of an answer came: the proxy need not have read it.
                Err(e) if e.is_canceled() || e.is_closed() || e.is_incomplete_message() => {
                    lock(tally).crossed += 1;
                }
                sent => return ended(due, sent),
            }
        }
        match self.clone().dial(tally).await {
            Some(fresh) => ended(due, self.send(fresh, due, deadline).await),
            None => End::Unsent,
        }
    }

    async fn send(
        &self, mut sender: SendRequest<Full<Bytes>>, due: &Due, deadline: Duration,
    ) -> Result<End, hyper::Error> {
        let Some(request) = request(due, deadline) else { return Ok(End::Unsent) };
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        let Ok(body) = Limited::new(answer.into_body(), ANSWER_BYTES).collect().await else {
            return Ok(End::Lost);
        };
        if sender.ready().await.is_ok() {
            self.idle.borrow_mut().push(sender);
        }
        let own = std::str::from_utf8(&body.to_bytes()).ok().and_then(|t| t.parse().ok());
        Ok(End::Answered(status, Duration::from_micros(own.unwrap_or(0))))
    }

    /// An idle connection that still stands.
    fn held(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|s| !s.is_closed());
        idle.pop()
    }

    async fn dial(self: Rc<Self>, tally: &Arc<Mutex<Tally>>) -> Option<SendRequest<Full<Bytes>>> {
        if self.open.get() >= self.most {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let opened = self.handshake(tally).await;
        if opened.is_none() {
            self.open.set(self.open.get() - 1);
        }
        opened
    }

    async fn handshake(self: &Rc<Self>, tally: &Arc<Mutex<Tally>>) -> Option<SendRequest<Full<Bytes>>> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let (pool, tally) = (self.clone(), tally.clone());
        tokio::task::spawn_local(async move {
            if connection.await.is_err_and(|e| e.is_parse() || e.to_string().contains("unexpected message")) {
                lock(&tally).strays += 1;
            }
            pool.open.set(pool.open.get() - 1);
        });
        Some(sender)
    }
}

fn ended(due: &Due, sent: Result<End, hyper::Error>) -> End {
    sent.unwrap_or_else(|e| {
        tracing::info!("request {}: {e}", due.id);
        End::Lost
    })
}

fn request(due: &Due, deadline: Duration) -> Option<Request<Full<Bytes>>> {
    let class = class_name(due.class);
    let (method, body) = if is_idempotent(due.class) { ("GET", "") } else { ("POST", "body") };
    let left = deadline.saturating_sub(due.planned.elapsed()).as_millis();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/{class}/a"))
        .header("host", "backend.local")
        .header("x-correlation-id", format!("{:016x}", due.id))
        .header("x-time-left-ms", left.to_string());
    if let Some(tenant) = due.tenant {
        request = request.header("x-account", tenant_name(tenant));
    }
    request.header("x-service-class", class).body(Full::new(Bytes::from(body))).ok()
}
