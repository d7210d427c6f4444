//! Connections to backends: the pool, and one attempt to one outcome.

use crate::clock::{duration, Clock};
use crate::headers::{remove_hop_by_hop, CORRELATION_ID, MAX_BODY_BYTES, TIME_LEFT, UNPROCESSED};
use crate::upstream_socket::{Progress, UpstreamSocket};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use load_balancer::discovery::Target;
use load_balancer::net::connect::{connect, ConnectError, Connected};
use load_balancer::{BackendState, Micros, Outcome, Time};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::Poll;
use tokio::sync::Notify;

/// Part of the backend's own limit after which an idle connection is closed from this side: a request
/// written while the backend closes it would end as a reset.
const IDLE_PART: f64 = 0.75;
/// An idle connection is closed after this time in any case: a backend in use is sent something far more often,
/// and its table is full of what many proxies keep to backends that they have ceased to use.
const IDLE_MOST: Micros = Micros(5_000_000);

/// A connection is used again only this long after its last answer: a spoilt one may be followed by a second, 1 to
/// 4 ms later where measured, and nothing in an answer tells which request it is to. What comes on an idle connection ends
/// it; what came after the next request was written would be served as the answer to that.
const SETTLE: Micros = Micros(5_000);

/// The time that a backend is told is that much less than what its client has left: with the hold-up after it is
/// told, of which there is an allowance for, comes the time to write it.
const TOLD_MARGIN: Micros = Micros(10_000);

/// What goes to a backend, the same in every attempt but for the time left.
pub struct UpstreamRequest {
    head: Request<()>,
    body: Bytes,
    /// So long it may have waited before it was read: that of its client's time had passed already.
    unseen: Micros,
    over: Cell<bool>,
    told: Notify,
}

impl UpstreamRequest {
    pub fn new(head: Request<()>, body: Bytes, unseen: Micros) -> UpstreamRequest {
        UpstreamRequest { head, body, unseen, over: Cell::new(false), told: Notify::new() }
    }

    /// The request has had its final answer, or its client is gone: no attempt of it is begun from now on.
    pub fn end(&self) {
        self.over.set(true);
        self.told.notify_waiters();
    }

    /// The time left for a backend, in whole milliseconds, where that much is left of the deadline.
    fn time_to_tell(&self, left: Micros) -> u64 {
        left.0.saturating_sub(self.unseen.0).saturating_sub(TOLD_MARGIN.0) / 1000
    }

    async fn ended(&self) {
        let told = self.told.notified();
        if !self.over.get() {
            told.await;
        }
    }

    /// The id under which all parties know the request, for the log: what is not plain text is not repeated.
    pub fn correlation(&self) -> &str {
        self.head.headers().get(&CORRELATION_ID).and_then(|v| v.to_str().ok()).unwrap_or("-")
    }
}

/// How an attempt ended, with the answer if it was served.
pub struct UpstreamResult {
    pub outcome: Outcome,
    pub answer: Option<Response<Bytes>>,
}

impl From<Outcome> for UpstreamResult {
    fn from(outcome: Outcome) -> UpstreamResult {
        UpstreamResult { outcome, answer: None }
    }
}

/// One process of a backend: a restart makes a new one, so that no connection to the old is used.
pub struct Upstream {
    pub target: Target,
    /// New requests may go to it; asked again before the first byte of each.
    pub open: Cell<bool>,
    idle: RefCell<Vec<(Time, Link)>>,
    /// It stands among those that the pool asks to give way.
    listed_as_idle: Cell<bool>,
}

impl Upstream {
    pub fn new(target: Target) -> Upstream {
        let open = Cell::new(target.backend.state == BackendState::Ready);
        Upstream { target, open, idle: RefCell::default(), listed_as_idle: Cell::default() }
    }

    /// Closes an idle connection, if there is one, and tells whether others are left.
    fn give_way(&self) -> (bool, bool) {
        let mut idle = self.idle.borrow_mut();
        (idle.pop().is_some(), !idle.is_empty())
    }

    /// Takes out the idle connection that was used last of those that have settled, else the one next to settle.
    fn take_idle(&self, now: Time) -> Option<(Time, Link)> {
        let mut idle = self.idle.borrow_mut();
        let settled = idle.iter().rposition(|(since, _)| now - *since >= SETTLE).unwrap_or(0);
        (settled < idle.len()).then(|| idle.remove(settled))
    }

    /// Nothing new goes to it from now on.
    pub fn shut(&self) {
        self.open.set(false);
        self.idle.borrow_mut().clear();
    }
}

/// Why an exchange brought no answer.
enum Fault {
    /// The connection broke or ended.
    Broken,
    /// Something came back that is no answer: the backend lives, whatever it meant to say.
    Unreadable,
}

impl From<hyper::Error> for Fault {
    fn from(e: hyper::Error) -> Fault {
        match e.is_parse() {
            true => Fault::Unreadable,
            false => Fault::Broken,
        }
    }
}

impl Fault {
    /// What a body's end short of its whole means: it is over-long or badly framed, or it was cut off.
    fn of_body(e: &(dyn std::error::Error + 'static)) -> Fault {
        let mut causes = std::iter::successors(Some(e), |e| e.source());
        let malformed = causes.any(|e| {
            let kind = e.downcast_ref::<io::Error>().map(io::Error::kind);
            matches!(kind, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput))
                || e.is::<LengthLimitError>()
        });
        match malformed {
            true => Fault::Unreadable,
            false => Fault::Broken,
        }
    }
}

/// A connection, driven only by the attempt that uses it: dropping it closes the socket at once.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    driving: Pin<Box<Connection<UpstreamSocket, Full<Bytes>>>>,
    progress: Rc<Progress>,
    /// The connection has run to its end.
    ended: bool,
    _slot: Slot,
}

impl Link {
    /// Sends the request and reads the whole answer while running the connection, whose own end shows in what
    /// the exchange gets.
    async fn exchange(&mut self, request: Request<Full<Bytes>>) -> Result<UpstreamResult, Fault> {
        self.progress.begun.set(false);
        self.progress.whole.set(false);
        let mut exchange = std::pin::pin!(exchange(&mut self.sender, request));
        poll_fn(|cx| {
            if !self.ended {
                self.ended = self.driving.as_mut().poll(cx).is_ready();
            }
            exchange.as_mut().poll(cx)
        })
        .await
    }

    /// Whether it can take a request: the other side has not closed it and the last answer is done. An ended
    /// connection is never run again; waiting on it would hold a good answer back until the deadline.
    async fn alive(&mut self) -> bool {
        if !self.ended {
            self.ended = poll_fn(|cx| Poll::Ready(self.driving.as_mut().poll(cx).is_ready())).await;
        }
        !self.ended && self.sender.is_ready()
    }
}

/// One of the sockets that backends may take.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// What all attempts share.
pub struct ConnectionPool {
    pub clock: Clock,
    /// A connection that is not up after this time counts as failed.
    dial_timeout: Cell<Micros>,
    idle_limit: Cell<Micros>,
    sockets: Rc<Cell<usize>>,
    most: usize,
    /// Those that may have idle connections, each once.
    with_idle: RefCell<VecDeque<Weak<Upstream>>>,
}

impl ConnectionPool {
    /// `most`: sockets that it may hold, idle ones included.
    pub fn new(clock: Clock, dial_timeout: Micros, conn_idle: Micros, most: usize) -> ConnectionPool {
        let (dial, idle, sockets) = (Cell::default(), Cell::default(), Rc::default());
        let with_idle = RefCell::default();
        let pool = ConnectionPool { clock, dial_timeout: dial, idle_limit: idle, sockets, most, with_idle };
        pool.set_times(dial_timeout, conn_idle);
        pool
    }

    /// Other times for the connections that are opened or found idle from now on.
    pub fn set_times(&self, dial_timeout: Micros, conn_idle: Micros) {
        self.dial_timeout.set(dial_timeout);
        self.idle_limit.set(conn_idle.times(IDLE_PART).min(IDLE_MOST));
    }

    /// Closes the connections that have stood idle for too long, or that the other side has closed.
    pub async fn sweep(&self, upstream: &Rc<Upstream>) {
        let mut kept = std::mem::take(&mut *upstream.idle.borrow_mut());
        let oldest = Time(self.clock.now().0.saturating_sub(self.idle_limit.get().0));
        kept.retain(|(since, _)| *since > oldest);
        for (since, mut link) in kept {
            if link.alive().await && upstream.open.get() {
                self.keep(upstream, since, link);
            }
        }
    }

    /// Keeps a connection that has done its work.
    fn keep(&self, upstream: &Rc<Upstream>, since: Time, link: Link) {
        upstream.idle.borrow_mut().push((since, link));
        if upstream.listed_as_idle.replace(true) {
            return;
        }
        let mut with_idle = self.with_idle.borrow_mut();
        if with_idle.len() > 2 * self.most {
            with_idle.retain(|upstream| upstream.strong_count() > 0); // backends that were replaced
        }
        with_idle.push_back(Rc::downgrade(upstream));
    }

    /// Closes an idle connection to any backend; false where there is none.
    fn make_place(&self) -> bool {
        let mut with_idle = self.with_idle.borrow_mut();
        while let Some(upstream) = with_idle.pop_front() {
            let Some(held) = upstream.upgrade() else { continue };
            let (closed, others) = held.give_way();
            held.listed_as_idle.set(others);
            if others {
                with_idle.push_back(upstream);
            }
            if closed {
                tracing::debug!(address = %held.target.address, "idle connection closed for another");
                return true;
            }
        }
        false
    }

    /// A pooled connection that has settled and that the backend has not closed. A new one would take no less time
    /// to come up than the wait for that, and its handshake costs the backend work.
    async fn pooled(&self, upstream: &Upstream) -> Option<Link> {
        loop {
            let (since, mut link) = upstream.take_idle(self.clock.now())?;
            tokio::time::sleep_until(self.clock.instant(since + SETTLE)).await;
            if self.clock.now() - since < self.idle_limit.get() && link.alive().await {
                return Some(link);
            }
        }
    }

    /// One of the sockets that backends may take, if there is any left or an idle one can go.
    fn reserve(&self) -> Option<Slot> {
        if self.sockets.get() >= self.most && !self.make_place() {
            return None;
        }
        self.sockets.set(self.sockets.get() + 1);
        Some(Slot(self.sockets.clone()))
    }

    async fn connect(&self, to: SocketAddr) -> Result<Link, Outcome> {
        let dialled = connect(to, duration(self.dial_timeout.get()), || self.reserve()).await;
        let Connected { stream, slot } = dialled.map_err(|e| {
            tracing::debug!(address = %to, error = %e, "connect failed");
            match e {
                ConnectError::ResourcesExhausted => Outcome::NotSent, // it says nothing against the backend
                ConnectError::Failed(_) | ConnectError::TimedOut => Outcome::ConnectFailed,
            }
        })?;
        let progress = Rc::new(Progress::default());
        let socket = UpstreamSocket::new(stream, progress.clone());
        let (sender, connection) = http1::handshake(socket).await.map_err(|_| Outcome::ConnectFailed)?;
        Ok(Link { sender, driving: Box::pin(connection), progress, ended: false, _slot: slot })
    }

    /// A connection to the backend, and whether it is new.
    async fn reach(&self, upstream: &Upstream) -> Result<(Link, bool), Outcome> {
        match self.pooled(upstream).await {
            Some(link) => Ok((link, false)),
            None => Ok((self.connect(upstream.target.address).await?, true)),
        }
    }

    /// Ready once an attempt must not be written any more.
    async fn lapse(&self, call: &UpstreamRequest, by: Time) {
        tokio::select! {
            () = call.ended() => {}
            () = tokio::time::sleep_until(self.clock.instant(by)) => {}
        }
    }

    /// One attempt, never sent unless it is written whole `by` then and while the request still wants an answer.
    /// It ends by itself or is dropped, which closes its connection.
    pub async fn attempt(
        &self, upstream: &Rc<Upstream>, call: &UpstreamRequest, by: Time, deadline: Time,
    ) -> UpstreamResult {
        let mut lapsed = std::pin::pin!(self.lapse(call, by));
        loop {
            let reached = tokio::select! {
                biased;
                () = &mut lapsed => return Outcome::NotSent.into(),
                reached = self.reach(upstream) => reached,
            };
            let (mut link, fresh) = match reached {
                Ok(reached) => reached,
                Err(outcome) => return outcome.into(),
            };
            // The backend may have been told to drain while the connection came up.
            if !upstream.open.get() {
                return Outcome::NotSent.into();
            }
            let left = call.time_to_tell(deadline - self.clock.now());
            if left == 0 {
                return Outcome::NotSent.into(); // a backend would drop it, and not everyone would say so
            }
            let progress = link.progress.clone();
            let unwritten = async {
                lapsed.as_mut().await;
                if progress.whole.get() {
                    std::future::pending::<()>().await; // it may run now, and is called off by the module alone
                }
            };
            let answered = tokio::select! {
                biased;
                answered = link.exchange(request(call, left)) => answered,
                () = unwritten => return Outcome::NotSent.into(),
            };
            return match answered {
                Ok(ended) => {
                    if link.alive().await && upstream.open.get() {
                        self.keep(upstream, self.clock.now(), link);
                    }
                    ended
                }
                // A pooled connection that closed before a byte was written: the attempt has not begun.
                Err(_) if !fresh && !link.progress.begun.get() => continue,
                Err(_) if !link.progress.whole.get() => Outcome::ConnectFailed.into(),
                Err(Fault::Broken) => Outcome::ConnectionReset.into(),
                Err(Fault::Unreadable) => Outcome::ErrorResponse.into(),
            };
        }
    }
}

fn request(call: &UpstreamRequest, left: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.head.method().clone();
    *request.uri_mut() = call.head.uri().clone();
    *request.headers_mut() = call.head.headers().clone();
    request.headers_mut().insert(TIME_LEFT, HeaderValue::from(left));
    request
}

/// Sends the request and reads the whole answer.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>, request: Request<Full<Bytes>>,
) -> Result<UpstreamResult, Fault> {
    let answer = sender.send_request(request).await?;
    let (mut head, body) = answer.into_parts();
    let readable = is_readable(&head.headers);
    // Whole before a byte of it goes on: a broken answer must not reach the client as a good one.
    let body =
        Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|e| Fault::of_body(&*e))?.to_bytes();
    let unseen = || head.headers.get(&UNPROCESSED).is_some_and(|v| v.as_bytes() == b"1");
    Ok(match head.status {
        StatusCode::OK if !readable => return Err(Fault::Unreadable),
        StatusCode::OK => {
            remove_hop_by_hop(&mut head.headers);
            UpstreamResult { outcome: Outcome::Success, answer: Some(Response::from_parts(head, body)) }
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen() => Outcome::Rejected.into(),
        _ => Outcome::ErrorResponse.into(),
    })
}

/// Whether the body is as it was meant: a transfer coding other than chunked was not taken off it. Without one and
/// without a length the body ends with its connection, and only where the backend closed that.
fn is_readable(headers: &HeaderMap) -> bool {
    let chunked = |v: &HeaderValue| v.as_bytes().eq_ignore_ascii_case(b"chunked");
    headers.get_all(hyper::header::TRANSFER_ENCODING).iter().all(chunked)
}
