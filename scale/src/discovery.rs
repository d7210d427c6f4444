//! A stand-in of discovery by its published protocol: list and watch, one call after another, and its troubles.

use crate::counted_stream::{ByteCounters, CountedStream};
use crate::endpoint_list::{EndpointList, ListResponse};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The longest wait of a watch.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// After a move the old address closes its open connections this much later.
const OLD_ADDRESS: Duration = Duration::from_millis(1_500);
/// Connections that it holds; more are closed unheard.
const CONNECTIONS: usize = 8_192;
/// Orders that may wait for it.
const ORDERS: usize = 16;

/// What it does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// Answers them.
    Serve,
    /// Ends them with 503, the watches that wait too.
    Refuse,
    /// Takes them and says nothing.
    Silence,
    /// Refuses connections and breaks those that stand.
    Down,
}

/// What a call costs it.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Each call.
    pub call: Duration,
    /// Each line of an answer.
    pub line: Duration,
    /// Calls that may stand in its queue; more are refused.
    pub queue: usize,
    /// An agent beside each proxy: calls cost nothing to anybody else.
    pub agent: bool,
}

/// What it has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that came.
    pub calls: u64,
    /// Whole lists written.
    pub lists: u64,
    /// Calls that ended with 503.
    pub refused: u64,
    /// The longest queue of calls.
    pub longest_queue: u64,
    /// The most calls that came in one second of its clock.
    pub peak_per_s: u64,
    /// Bytes written to proxies.
    pub bytes_out: u64,
    /// Bytes read from proxies.
    pub bytes_in: u64,
}

#[derive(Default)]
struct Tally {
    calls: AtomicU64,
    lists: AtomicU64,
    refused: AtomicU64,
    longest_queue: AtomicU64,
    peak_per_s: AtomicU64,
    traffic: Arc<ByteCounters>,
}

enum Order {
    Conduct(Conduct, oneshot::Sender<()>),
    Move(oneshot::Sender<std::io::Result<SocketAddr>>),
}

/// The handle on it; dropping it ends its thread.
pub struct Discovery {
    address: Mutex<SocketAddr>,
    register: Arc<Mutex<EndpointList>>,
    version: watch::Sender<u64>,
    orders: mpsc::Sender<Order>,
    tally: Arc<Tally>,
}

impl Discovery {
    /// Starts it on a port of 127.0.0.1 that the system chooses.
    pub fn start(register: EndpointList, costs: Costs) -> Result<Discovery, String> {
        let (version, versions) = watch::channel(register.version());
        let (register, tally) = (Arc::new(Mutex::new(register)), Arc::<Tally>::default());
        let (orders, taken) = mpsc::channel(ORDERS);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").map_err(|e| format!("discovery: {e}"))?;
        listener.set_nonblocking(true).map_err(|e| format!("discovery: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("discovery: {e}"))?;
        let (held, counted) = (register.clone(), tally.clone());
        crate::local_runtime::spawn_local_runtime("discovery", move || async move {
            let served = Served::new(held, versions, costs, counted);
            if let Err(e) = Rc::new(served).run(listener, taken).await {
                tracing::error!("discovery: {e}");
            }
        })
        .map_err(|e| e.to_string())?;
        Ok(Discovery { address: Mutex::new(address), register, version, orders, tally })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        *lock(&self.address)
    }

    /// Changes the list; watches hear of it at once.
    pub fn change(&self, change: impl FnOnce(&mut EndpointList)) {
        let version = {
            let mut register = lock(&self.register);
            change(&mut register);
            register.version()
        };
        self.version.send_replace(version);
    }

    /// The whole list as text.
    pub fn whole(&self) -> ListResponse {
        lock(&self.register).response(None)
    }

    /// What it does with calls from now on.
    pub async fn conduct(&self, conduct: Conduct) {
        let (done, wait) = oneshot::channel();
        if self.orders.send(Order::Conduct(conduct, done)).await.is_ok() {
            let _ = wait.await;
        }
    }

    /// Moves it to another port; the old one takes no new connections and closes the open ones a little later.
    pub async fn move_away(&self) -> Result<SocketAddr, String> {
        let (told, wait) = oneshot::channel();
        self.orders.send(Order::Move(told)).await.map_err(|_| "discovery has ended")?;
        let moved = wait.await.map_err(|_| "discovery has ended")?.map_err(|e| format!("discovery: {e}"))?;
        *lock(&self.address) = moved;
        Ok(moved)
    }

    /// What it has counted so far.
    pub fn counts(&self) -> Counts {
        let of = |a: &AtomicU64| a.load(Ordering::Relaxed);
        let t = &self.tally;
        Counts {
            calls: of(&t.calls),
            lists: of(&t.lists),
            refused: of(&t.refused),
            longest_queue: of(&t.longest_queue),
            peak_per_s: of(&t.peak_per_s),
            bytes_out: t.traffic.written(),
            bytes_in: t.traffic.read(),
        }
    }

    /// Begins the peaks anew: what is told of a phase is not that of the one before.
    pub fn reset_peaks(&self) {
        self.tally.longest_queue.store(0, Ordering::Relaxed);
        self.tally.peak_per_s.store(0, Ordering::Relaxed);
    }
}

/// No holder of these locks can leave them half changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What its thread holds.
struct Served {
    register: Arc<Mutex<EndpointList>>,
    versions: watch::Receiver<u64>,
    costs: Costs,
    tally: Arc<Tally>,
    conduct: watch::Sender<Conduct>,
    /// When all that stands in the queue is done.
    free: Cell<Instant>,
    queued: Cell<u64>,
    /// The second that runs, and the calls that came in it.
    second: Cell<(Instant, u64)>,
    /// Open connections by the port that took them; dropping a set breaks its connections.
    open: RefCell<BTreeMap<u16, JoinSet<()>>>,
}

impl Served {
    fn new(
        register: Arc<Mutex<EndpointList>>, versions: watch::Receiver<u64>, costs: Costs, tally: Arc<Tally>,
    ) -> Served {
        Served {
            register,
            versions,
            costs,
            tally,
            conduct: watch::channel(Conduct::Serve).0,
            free: Cell::new(Instant::now()),
            queued: Cell::new(0),
            second: Cell::new((Instant::now(), 0)),
            open: RefCell::default(),
        }
    }

    /// Serves until its handle is gone.
    async fn run(
        self: Rc<Self>, listener: std::net::TcpListener, mut orders: mpsc::Receiver<Order>,
    ) -> std::io::Result<()> {
        let mut address = listener.local_addr()?;
        let mut listener = Some(TcpListener::from_std(listener)?);
        loop {
            tokio::select! {
                order = orders.recv() => match order {
                    None => return Ok(()),
                    Some(Order::Conduct(conduct, done)) => {
                        listener = self.clone().behave(conduct, address, listener)?;
                        let _ = done.send(());
                    }
                    Some(Order::Move(told)) => {
                        self.clone().retire(address.port());
                        let moved = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
                        let moved = moved.and_then(|l| Ok((l.local_addr()?, l)));
                        let _ = told.send(moved.map(|(bound, l)| {
                            (address, listener) = (bound, Some(l));
                            bound
                        }));
                    }
                },
                Some(stream) = accept(listener.as_ref()) => self.clone().take(stream, address.port()),
            }
        }
    }

    /// Takes up another conduct; while it is down nobody listens.
    fn behave(
        self: Rc<Self>, conduct: Conduct, address: SocketAddr, listener: Option<TcpListener>,
    ) -> std::io::Result<Option<TcpListener>> {
        self.conduct.send_replace(conduct);
        if conduct == Conduct::Down {
            self.open.borrow_mut().clear();
            return Ok(None);
        }
        listener.map_or_else(|| bind(address), Ok).map(Some)
    }

    /// Closes the connections of a port that it has left, after a while.
    fn retire(self: Rc<Self>, port: u16) {
        let old = self.open.borrow_mut().remove(&port);
        tokio::task::spawn_local(async move {
            sleep(OLD_ADDRESS).await;
            drop(old);
        });
    }

    fn take(self: Rc<Self>, stream: TcpStream, port: u16) {
        let mut open = self.open.borrow_mut();
        let set = open.entry(port).or_default();
        while set.try_join_next().is_some() {}
        if set.len() < CONNECTIONS {
            set.spawn_local(self.clone().converse(stream));
        }
    }

    async fn converse(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let counted = CountedStream::new(stream, self.tally.traffic.clone());
        let service = service_fn(|call| self.clone().call(call));
        if let Err(e) = http1::Builder::new().serve_connection(TokioIo::new(counted), service).await {
            tracing::debug!("discovery: a connection ended: {e}");
        }
    }

    async fn call(self: Rc<Self>, call: Request<Incoming>) -> Result<Response<Full<Bytes>>, String> {
        self.count_call();
        let asked = Asked::read(call.uri().path(), call.uri().query().unwrap_or(""));
        match self.answer(asked).await {
            Ok(answer) => Ok(plain(StatusCode::OK, answer.body)),
            Err(status) => {
                self.tally
                    .refused
                    .fetch_add(u64::from(status == StatusCode::SERVICE_UNAVAILABLE), Ordering::Relaxed);
                Ok(plain(status, Bytes::new()))
            }
        }
    }

    fn count_call(&self) {
        self.tally.calls.fetch_add(1, Ordering::Relaxed);
        let (since, count) = self.second.get();
        let same = since.elapsed() < Duration::from_secs(1);
        let second = if same { (since, count + 1) } else { (Instant::now(), 1) };
        self.second.set(second);
        self.tally.peak_per_s.fetch_max(second.1, Ordering::Relaxed);
    }

    /// The list or its changes, each after its turn; a status other than 200 where it gives neither.
    async fn answer(&self, asked: Option<Asked>) -> Result<ListResponse, StatusCode> {
        let asked = asked.ok_or(StatusCode::NOT_FOUND)?;
        self.willing().await?;
        let costs = self.costs;
        match asked {
            Asked::List => {
                let lines = lock(&self.register).entry_count(None);
                self.turn(costs.call + costs.line * lines as u32, true).await?;
                self.tally.lists.fetch_add(1, Ordering::Relaxed);
                Ok(lock(&self.register).response(None))
            }
            Asked::Watch(after, wait) => {
                self.turn(costs.call, true).await?;
                self.news(after, wait).await?;
                let lines = lock(&self.register).entry_count(Some(after));
                self.turn(costs.line * lines as u32, false).await?;
                Ok(lock(&self.register).response(Some(after)))
            }
        }
    }

    /// Whether it serves now: 503 where it refuses, and for ever nothing where it is silent.
    async fn willing(&self) -> Result<(), StatusCode> {
        let conduct = *self.conduct.borrow();
        match conduct {
            Conduct::Serve => Ok(()),
            Conduct::Refuse | Conduct::Down => Err(StatusCode::SERVICE_UNAVAILABLE),
            Conduct::Silence => std::future::pending().await,
        }
    }

    /// Waits until a version later than that is in force, or the wait is over.
    async fn news(&self, after: u64, wait: Duration) -> Result<(), StatusCode> {
        let (mut versions, mut conduct) = (self.versions.clone(), self.conduct.subscribe());
        tokio::select! {
            waited = timeout(wait, versions.wait_for(|v| *v != after)) => {
                // A version or the end of the wait: both are answered.
                tracing::trace!("discovery: a watch ends, news {}", waited.is_ok());
            }
            _ = conduct.wait_for(|c| *c != Conduct::Serve) => {}
        }
        self.willing().await
    }

    /// Calls are handled one after another: waits for a turn and for the work itself.
    async fn turn(&self, work: Duration, may_refuse: bool) -> Result<(), StatusCode> {
        if self.costs.agent || work.is_zero() {
            return Ok(());
        }
        if may_refuse && self.queued.get() >= self.costs.queue as u64 {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let place = Place::take(&self.queued);
        self.tally.longest_queue.fetch_max(self.queued.get(), Ordering::Relaxed);
        let done = self.free.get().max(Instant::now()) + work;
        self.free.set(done);
        sleep_until(done).await;
        drop(place);
        self.willing().await
    }
}

/// A place in the queue; it is left however the call ends. The work of a caller that went away is done all the same.
struct Place<'a>(&'a Cell<u64>);

impl<'a> Place<'a> {
    fn take(queued: &'a Cell<u64>) -> Place<'a> {
        queued.set(queued.get() + 1);
        Place(queued)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// What a call asks for.
enum Asked {
    List,
    /// What is newer than a version, and how long it may be waited for.
    Watch(u64, Duration),
}

impl Asked {
    fn read(path: &str, query: &str) -> Option<Asked> {
        if path != "/api/targets" {
            return None;
        }
        let value =
            |key: &str| query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == key).map(|p| p.1);
        let Some(after) = value("after") else { return Some(Asked::List) };
        let wait = value("wait_ms").map_or(Some(0), |w| w.parse().ok())?;
        Some(Asked::Watch(after.parse().ok()?, Duration::from_millis(wait).min(LONGEST_WAIT)))
    }
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}

/// A listener whose backlog holds a whole fleet that comes at once.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

async fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    match listener {
        Some(listener) => match listener.accept().await {
            Ok((stream, _)) => Some(stream),
            Err(e) => {
                tracing::warn!("discovery: accept: {e}");
                sleep(Duration::from_millis(20)).await;
                None
            }
        },
        None => std::future::pending().await,
    }
}
