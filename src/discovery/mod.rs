//! The list of backends: its form, and the watch on it.

pub mod start_times;

/// The name of [`Endpoint`](crate::wire::endpoint_list::Endpoint) here.
pub use crate::wire::endpoint_list::Endpoint as Target;

use crate::net::dial::{self, DialError};
use crate::wire::endpoint_list::{Endpoint, EndpointList};
use crate::{DiscoveryMode, EndpointListUpdate, Time};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use start_times::StartTimes;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;

/// A pushed list costs its agent nothing. What the agent has counts as told at once, whatever became of a call that
/// it took while it was down: that such a call is lost has to show, and the next to be answered, within the time in
/// which sends to a backend that drains must cease. Parts of that for the wait, and for an answer that is due.
const PUSH_WAIT: u32 = 2;
const PUSH_GRACE: u32 = 4;
/// Whatever discovery has to tell counts as told so long after it had it and could be reached, however the call for it
/// fared (PROTOCOL, and the users' page on days at full size).
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// An answer of the one service that is this late does not come.
const GRACE: Duration = Duration::from_millis(1500);
/// What the call that follows on a silent one may take: its dial, its turn at the service, its answer.
const NEXT_CALL: Duration = Duration::from_secs(1);
/// Where all proxies ask one service, each call costs it work: the longest wait for news is what the rest of that time
/// leaves, so that a watch that was swallowed shows, and the next brings what it missed, before that counts as told.
const ASK_WAIT: Duration = TOLD_WITHIN.saturating_sub(GRACE).saturating_sub(NEXT_CALL);
/// The part of a wait over which the proxies of a fleet spread theirs. News answers all of them at once, so all call
/// again at once; were their waits alike, all would miss a watch that fell silent at the same moment too, and their
/// calls stand in one queue longer than the time in which what was missed counts as told.
const ASK_SPREAD: f64 = 0.5;
/// The whole list waits for no news, only for its turn in the service's queue. What it tells counts as told 4 s
/// after a signal to reload: silence has to show before that.
const LIST_WAIT: Duration = Duration::from_secs(2);
const BACKOFF: Duration = Duration::from_millis(50);
/// The longest list that is read: some thousand lines.
const LIST_BYTES: usize = 4 << 20;

/// One connection to discovery; dropping it closes it.
struct Line {
    sender: SendRequest<Empty<Bytes>>,
    driving: JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driving.abort();
    }
}

/// A connection within that time. The call that it is for waits while the means of this machine are short.
async fn connect(to: SocketAddr, within: Duration) -> Result<Line, String> {
    let stream = loop {
        match dial::dial(to, within, || Some(())).await {
            Ok((stream, ())) => break stream,
            Err(DialError::NoMeans) => {
                tracing::debug!(error = %DialError::NoMeans, "discovery connect failed")
            }
            Err(failure) => return Err(failure.to_string()),
        }
    };
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let driving = tokio::task::spawn_local(async move {
        if let Err(e) = connection.await {
            tracing::debug!(error = %e, "discovery connection failed");
        }
    });
    Ok(Line { sender, driving })
}

async fn ask(line: &mut Line, host: SocketAddr, path: &str) -> Result<EndpointList, String> {
    line.sender.ready().await.map_err(|e| e.to_string())?;
    let request = Request::get(path)
        .header(hyper::header::HOST, host.to_string())
        .body(Empty::new())
        .map_err(|e| e.to_string())?;
    let answer = line.sender.send_request(request).await.map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), LIST_BYTES).collect().await.map_err(|e| e.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    let value = serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("expected JSON: {e}"))?;
    EndpointList::from_value(&value).map_err(|e| e.to_string())
}

/// What of the settings the watch goes by; from its next call on where it changes.
#[derive(Clone, Copy)]
pub struct Terms {
    /// A connection that is not up after this time does not come up.
    pub dial_timeout: Duration,
    /// So soon after the news sends to a backend that drains must cease.
    pub stop_sending: Duration,
    /// This proxy's place in its fleet, from 0 up to 1.
    pub place: f64,
}

/// Where discovery is and how it is used.
pub struct Watch {
    /// It may move while the proxy runs.
    pub address: watch::Receiver<SocketAddr>,
    /// Whether the list is pushed or asked for.
    pub mode: DiscoveryMode,
    /// They may change while the proxy runs.
    pub terms: Rc<Cell<Terms>>,
    /// The version last had.
    pub index: Option<u64>,
    /// The module asks for changes; a pushed list is watched unasked.
    pub follow: Rc<Notify>,
    /// Time for the starts of backends, by the clock of this process.
    pub now: Box<dyn Fn() -> Time>,
    /// When the backends of the list last had started.
    pub starts: StartTimes,
    /// Is called with all news of the list, in order.
    pub tell: Box<dyn Fn(EndpointListUpdate, Vec<Endpoint>)>,
}

impl Watch {
    /// What the next call asks for, the whole list or what is newer than the version held, and when it is lost.
    fn next_call(&self) -> (String, Duration) {
        let Terms { stop_sending, place, .. } = self.terms.get();
        let (list, wait, grace) = match self.mode {
            DiscoveryMode::Push => (Duration::ZERO, stop_sending / PUSH_WAIT, stop_sending / PUSH_GRACE),
            DiscoveryMode::Subscribe(_) => {
                let spread = 1.0 - ASK_SPREAD * place;
                (LIST_WAIT.mul_f64(spread), ASK_WAIT.mul_f64(spread), GRACE)
            }
        };
        match self.index {
            None => ("/api/targets".into(), list + grace),
            Some(index) => (format!("/api/targets?after={index}&wait_ms={}", wait.as_millis()), wait + grace),
        }
    }

    /// Makes the next call and waits for what comes of it.
    async fn next(&mut self, line: &mut Option<Line>) -> Heard {
        let address = *self.address.borrow_and_update();
        let (path, limit) = self.next_call();
        tracing::debug!(%path, "discovery called");
        // An agent that never answers must not hold the watch: every call has its time.
        let call = tokio::time::timeout(limit, call(address, self.terms.get().dial_timeout, &path, line));
        tokio::pin!(call);
        loop {
            tokio::select! {
                biased;
                Ok(()) = self.address.changed() => return Heard::Moved,
                answer = &mut call => return match answer {
                    Ok(Ok(list)) => Heard::Told(list),
                    Ok(Err(text)) => Heard::Failed(text),
                    Err(_) => Heard::Silence,
                },
                // The call asked for is this one. Kept, the wish would call again as soon as this one fails,
                // however long the module then wants to wait.
                () = self.follow.notified() => {}
            }
        }
    }

    /// Waits until the module wishes for a call; false where discovery has moved first, which ends the wait.
    async fn wished(&mut self) -> bool {
        tokio::select! {
            biased;
            Ok(()) = self.address.changed() => false,
            () = self.follow.notified() => true,
        }
    }

    /// Watches for ever. Each next call goes out at once, so that no change falls between two watches.
    pub async fn run(mut self) {
        let pushed = self.mode == DiscoveryMode::Push;
        let (mut line, mut backoff, mut watching) = (None, BACKOFF, pushed);
        let mut moved = false;
        loop {
            let heard =
                if watching || self.wished().await { self.next(&mut line).await } else { Heard::Moved };
            if !matches!(heard, Heard::Told(_)) {
                line = None;
            }
            let (was_moved, silent) = (moved, matches!(heard, Heard::Silence));
            moved = matches!(heard, Heard::Moved);
            let text = match heard {
                Heard::Moved => {
                    // The list goes on at the new address, at once and from the whole of it: the old one may have
                    // told less.
                    (self.index, watching) = (None, true);
                    continue;
                }
                // It counts from anew: its changes are to another list than the one held.
                Heard::Told(list)
                    if !list.is_snapshot && self.index.is_some_and(|held| list.version < held) =>
                {
                    tracing::warn!(version = list.version, "discovery version went back");
                    (self.index, watching) = (None, true);
                    continue;
                }
                Heard::Told(mut list) => {
                    tracing::debug!(
                        version = list.version,
                        entries = list.endpoints.len(),
                        "endpoint list received"
                    );
                    self.starts.place((self.now)(), list.is_snapshot, &mut list.endpoints);
                    (watching, backoff, self.index) = (true, BACKOFF, Some(list.version));
                    let update = if list.is_snapshot {
                        EndpointListUpdate::Snapshot
                    } else {
                        EndpointListUpdate::Delta
                    };
                    if list.is_snapshot || !list.endpoints.is_empty() || !pushed {
                        (self.tell)(update, list.endpoints);
                    }
                    continue;
                }
                Heard::Failed(text) => text,
                Heard::Silence => "no answer in time".into(),
            };
            // The list held stays in force.
            tracing::warn!(error = %text, "discovery call failed");
            if pushed {
                // An agent that starts again may count from anew; the whole list costs it nothing.
                self.index = None;
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(self.terms.get().stop_sending / PUSH_GRACE);
            } else if was_moved || silent {
                // Asked again at once, on a new connection. The time of the silent call has passed already, by each
                // proxy's place another one; a further wait would outlast the time in which what was missed counts
                // as told. After a move it would outlast the time in which the list has to come.
                watching = true;
            } else {
                watching = false;
                (self.tell)(EndpointListUpdate::SubscriptionLost, Vec::new());
            }
        }
    }
}

/// What came of a call.
enum Heard {
    Told(EndpointList),
    /// Discovery refused, broke off or said what is no list.
    Failed(String),
    /// Nothing in its time.
    Silence,
    /// Discovery has moved meanwhile, or while no call was out.
    Moved,
}

/// One call, on the connection held if it still stands.
async fn call(
    address: SocketAddr, dial_timeout: Duration, path: &str, line: &mut Option<Line>,
) -> Result<EndpointList, String> {
    if line.as_ref().is_none_or(|l| l.sender.is_closed()) {
        // Where the way is cut no connection comes up: the time for an answer is not for waiting on that.
        *line = Some(connect(address, dial_timeout).await?);
    }
    match line {
        Some(line) => ask(line, address, path).await,
        None => Err("no connection".into()),
    }
}
