//! The client side: connections, the form of requests, answers.

use crate::client_connection::{ClientConnection, Ending};
use crate::client_socket::ClientSocket;
use crate::clock::{micros, Clock};
use crate::config::Settings;
use crate::headers::{
    remove_hop_by_hop, CLASS, CLIENT_RETRY, CORRELATION_ID, EXPECTED_WORK, IDEMPOTENCY_KEY, MAX_BODY_BYTES,
    TENANT, TIME_LEFT,
};
use crate::listener::{Accepted, Acceptor, Queue};
use crate::messages::{DispatcherMessage, FinalAnswer, ReceivedRequest, ServingStatus};
use crate::stall_detector::StallDetector;
use crate::upstream::UpstreamRequest;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use load_balancer::{Idempotency, Micros, RequestId, Time};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, Notify};

/// After SIGTERM new connections still come for a while; so long they are accepted.
const STOP_ACCEPTING: Duration = Duration::from_millis(500);
/// SIGKILL comes 0.7 s after SIGTERM and the longest deadline, which is taken as at most so long. What it finds
/// unanswered is lost: every answer is given before, 0.15 s of a hold-up and its way to the client included.
const LAST_DEADLINE: Micros = Micros(3_000_000);
const LAST_ANSWER: Micros = Micros(500_000);
const LAST_WRITE: Duration = Duration::from_millis(100);
/// With every connection taken the next look for one to end is so soon after one was told to.
const CROWDED_PAUSE: Duration = Duration::from_millis(10);
/// Ticks between the answer to a client and the end of its patience, for the way there and back.
const MARGIN_TICKS: u64 = 2;

/// What the handlers of all connections share.
pub struct Server {
    pub clock: Clock,
    pub stall_detector: StallDetector,
    /// Replaced in one step with the input that tells the dispatcher: nobody keeps hold of it over a wait.
    pub settings: RefCell<Arc<Settings>>,
    /// Client connections that may be open.
    pub most: usize,
    pub inputs: mpsc::UnboundedSender<DispatcherMessage>,
    pub status: Rc<ServingStatus>,
    pub next: Cell<u64>,
    pub stopping: Cell<bool>,
    pub connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    pub freed: Notify,
}

/// A request of which the dispatcher knows; dropped before it is answered, its client has gone.
struct Ticket<'a> {
    id: RequestId,
    call: Rc<UpstreamRequest>,
    came: Time,
    server: &'a Server,
    answered: bool,
}

impl Ticket<'_> {
    /// The last line of a request in the log.
    fn log_end(&self, outcome: &str) {
        tracing::debug!(
            %outcome,
            request = self.id.0,
            correlation_id = %self.call.correlation(),
            latency_us = (self.server.clock.now() - self.came).0,
            "request ended"
        );
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.log_end("client_disconnected");
            let _ = self.server.inputs.send(DispatcherMessage::ClientDisconnected(self.id));
        }
    }
}

impl Server {
    /// Serves until `stop`; returns when all that was taken is answered.
    pub async fn run(self: Rc<Self>, listener: TcpListener, stop: impl Future<Output = ()>) {
        let mut acceptor = Acceptor::new(listener);
        tokio::pin!(stop);
        let end = tokio::time::sleep(Duration::MAX);
        tokio::pin!(end);
        let mut last = Time(u64::MAX);
        loop {
            let room = self.make_room();
            let crowded = self.is_crowded();
            if crowded {
                acceptor.hold();
            }
            tokio::select! {
                biased;
                () = &mut stop, if !self.stopping.get() => {
                    self.stopping.set(true);
                    let longest = self.settings.borrow().longest_deadline;
                    let told = Time(self.clock.now().0.saturating_sub(self.stall_detector.unseen().0));
                    last = told + longest.min(LAST_DEADLINE) + LAST_ANSWER;
                    let _ = self.inputs.send(DispatcherMessage::ShutdownStarted { deadline: last });
                    end.as_mut().reset(tokio::time::Instant::now() + STOP_ACCEPTING);
                }
                () = &mut end, if self.stopping.get() => break,
                () = self.freed.notified() => {}
                () = tokio::time::sleep_until(self.clock.instant(room)) => {}
                accepted = acceptor.accept(), if !crowded => self.clone().serve(accepted),
            }
        }
        // What the system has accepted meanwhile counts as taken.
        let queue = acceptor.into_queue().inspect_err(|e| tracing::error!(error = %e, "listen queue lost"));
        let mut queue = queue.ok();
        let in_time = tokio::time::timeout_at(self.clock.instant(last), self.finish(&mut queue)).await;
        if in_time.is_err() {
            self.end_those(ClientConnection::is_in_request, Ending::Reject);
            // Counted from now: a process held up until now has not given its last answers yet.
            let _ = tokio::time::timeout(LAST_WRITE, self.finish(&mut queue)).await;
        }
    }

    fn end_those(&self, which: impl Fn(&ClientConnection) -> bool, how: Ending) {
        let connections = self.connections.borrow();
        connections.values().filter(|c| which(c)).for_each(|c| c.tell_to_end(how));
    }

    /// Serves what waits in the queue and what is open, until nothing is.
    async fn finish(self: &Rc<Self>, queue: &mut Option<Queue>) {
        loop {
            self.end_those(|c| c.idle_since().is_some(), Ending::Close);
            if queue.is_none() && self.connections.borrow().is_empty() {
                return;
            }
            tokio::select! {
                biased;
                waited = next_of(queue) => match waited {
                    Some(accepted) => self.clone().serve(accepted),
                    None => *queue = None,
                },
                () = self.freed.notified() => {}
            }
        }
    }

    /// Every connection is taken.
    fn is_crowded(&self) -> bool {
        self.connections.borrow().len() >= self.most
    }

    /// With every connection taken one is ended, for new clients must get in: that which has been idle longest, or else
    /// those that have brought nothing for long enough. Tells when to look again.
    fn make_room(&self) -> Time {
        if !self.is_crowded() {
            return Time(u64::MAX);
        }
        let connections = self.connections.borrow();
        let soon = self.clock.now() + micros(CROWDED_PAUSE);
        let open = connections.values().filter(|c| c.ending().is_none());
        if let Some((_, idle)) =
            open.filter_map(|c| Some((c.idle_since()?, c))).min_by_key(|(since, _)| *since)
        {
            idle.tell_to_end(Ending::Close);
            return soon;
        }
        let mut next = Time(u64::MAX);
        for connection in connections.values() {
            match connection.makes_room() {
                Some((due, ending)) if due <= self.clock.now() => connection.tell_to_end(ending),
                Some((due, _)) => next = next.min(due),
                None => {}
            }
        }
        next.max(soon)
    }

    fn serve(self: Rc<Self>, accepted: Accepted) {
        let Accepted { stream, since } = accepted;
        let _ = stream.set_nodelay(true);
        let client = Rc::new(ClientConnection::new(self.clock, since.elapsed()));
        let id = self.number();
        self.connections.borrow_mut().insert(id, client.clone());
        tokio::task::spawn_local(async move {
            let _gone = Gone { id, server: &self };
            self.converse(stream, &client).await;
        });
    }

    /// Serves a connection to its end.
    async fn converse(&self, stream: TcpStream, client: &ClientConnection) {
        let service = hyper::service::service_fn(|request| self.handle(request, client));
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new()).header_read_timeout(None);
        let socket = ClientSocket::new(stream, client.activity.clone());
        let connection = http.serve_connection(socket.clone(), service);
        tokio::pin!(connection);
        let left = poll_fn(|cx| if client.waiting.get() { socket.poll_left(cx) } else { Poll::Pending });
        tokio::pin!(left);
        loop {
            let due = client.due().map_or(Time(u64::MAX), |due| due.0);
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    if let Err(e) = ended {
                        tracing::debug!(error = %e, "client connection failed");
                    }
                    return socket.linger(client.ending() == Some(Ending::Reject)).await;
                }
                () = &mut left => return,
                () = client.told_to_end.notified() => {}
                () = client.became_idle.notified() => continue,
                () = tokio::time::sleep_until(self.clock.instant(due)) => match client.due() {
                    Some((due, ending)) if due <= self.clock.now() => client.tell_to_end(ending),
                    _ => continue,
                },
            }
            match client.ending() {
                _ if client.is_silent() => return, // it has asked for nothing, and is owed nothing but its end
                Some(Ending::Reject) if client.is_in_request() && client.due().is_some() => {
                    return socket.reject().await;
                }
                // What has begun to come meanwhile is answered, and told that it is the last.
                Some(Ending::Close) if !client.is_in_request() => connection.as_mut().graceful_shutdown(),
                _ => {}
            }
        }
    }

    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    async fn handle(
        &self, request: Request<Incoming>, client: &ClientConnection,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        client.begin_request();
        let mut answer = self.answer(request, client).await;
        client.end_request();
        if self.stopping.get() || client.ending().is_some() || self.is_crowded() {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(answer)
    }

    async fn answer(&self, request: Request<Incoming>, client: &ClientConnection) -> Response<Full<Bytes>> {
        if request.uri().path() == "/-/ready" {
            let ready = self.status.serving.get() && !self.stopping.get();
            return if ready {
                plain(StatusCode::OK, "ready")
            } else {
                plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            };
        }
        let came = self.clock.now();
        let unseen = Micros(self.stall_detector.unseen().0 + client.waited().0);
        let (mut head, body) = request.into_parts();
        let mut form = match read(&self.settings.borrow(), &head, body.size_hint().exact()) {
            Ok(form) => form,
            Err(text) => return plain(StatusCode::BAD_REQUEST, text),
        };
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE);
        }
        let due = client.request_due().min(came + form.time_left);
        let collected = tokio::select! {
            biased;
            collected = Limited::new(body, MAX_BODY_BYTES).collect() => Some(collected),
            () = client.rejected.notified() => None,
            () = tokio::time::sleep_until(self.clock.instant(due)) => None,
        };
        let body = match collected {
            Some(Ok(body)) => body.to_bytes(),
            Some(Err(e)) if e.is::<LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE)
            }
            Some(Err(_)) => return plain(StatusCode::BAD_REQUEST, "the body is broken"),
            None => return plain(StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        // Its last byte has come: class, tenant and terms are those in force now, and the dispatcher takes it before it
        // hears of others.
        if form.version != self.settings.borrow().version {
            form = match read(&self.settings.borrow(), &head, Some(body.len() as u64)) {
                Ok(form) => form,
                Err(text) => return plain(StatusCode::BAD_REQUEST, text),
            };
        }
        remove_hop_by_hop(&mut head.headers);
        let mut sent = Request::new(());
        *sent.method_mut() = head.method;
        *sent.uri_mut() = head.uri.path_and_query().map(|p| p.clone().into()).unwrap_or_default();
        *sent.headers_mut() = head.headers;
        let (reply, answer) = oneshot::channel();
        let id = RequestId(self.number());
        let call = Rc::new(UpstreamRequest::new(sent, body, unseen));
        let mut ticket = Ticket { id, call: call.clone(), came, server: self, answered: false };
        tracing::debug!(
            request = id.0,
            correlation_id = %call.correlation(),
            time_left_us = form.time_left.0,
            "request received"
        );
        let arrived = DispatcherMessage::RequestReceived(ReceivedRequest {
            id,
            class: form.class,
            tenant: form.tenant,
            deadline: came + Micros(form.time_left.0.saturating_sub(form.margin.0)),
            expected_work: form.expected_work,
            is_client_retry: form.is_client_retry,
            upstream_request: call,
            answer: reply,
        });
        let _ = self.inputs.send(arrived);
        client.waiting.set(true);
        let answer = answer.await;
        client.waiting.set(false);
        ticket.answered = true;
        match answer {
            Ok(FinalAnswer::Served(answer)) => {
                ticket.log_end("served");
                answer.map(Full::new)
            }
            Ok(FinalAnswer::Rejected { retry_after: after }) => {
                ticket.log_end("rejected");
                let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                let whole = after.0.div_ceil(1_000_000); // whole seconds: not every client reads decimals
                answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(whole));
                answer
            }
            Ok(FinalAnswer::Failed) | Err(_) => {
                ticket.log_end("failed");
                plain(StatusCode::BAD_GATEWAY, "failed")
            }
        }
    }
}

/// The next connection of the queue, none once it is empty; where there is no queue any more, never ready.
async fn next_of(queue: &mut Option<Queue>) -> Option<Accepted> {
    match queue {
        Some(queue) => queue.next().await,
        None => std::future::pending().await,
    }
}

/// What the module needs to know of a request; a message if its form is wrong.
fn read(settings: &Settings, head: &Parts, length: Option<u64>) -> Result<Form, &'static str> {
    let (headers, Settings { names, balancer, .. }) = (&head.headers, settings);
    let name = text(headers, &CLASS).ok_or("expected X-Service-Class")?;
    let class = names.class(name).ok_or("X-Service-Class: unknown class")?;
    if head.uri.path().split('/').nth(1) != Some(name) {
        return Err("expected the class as the first part of the path");
    }
    let keyed = headers.contains_key(&IDEMPOTENCY_KEY);
    let fits = match balancer.classes[class.0].idempotency {
        Idempotency::Idempotent => head.method == Method::GET && length == Some(0),
        Idempotency::Keyed { .. } => head.method == Method::POST && keyed,
        Idempotency::NonIdempotent => head.method == Method::POST && !keyed,
    };
    if !fits {
        return Err("the method, the body or Idempotency-Key does not fit the class");
    }
    if !headers.contains_key(&CORRELATION_ID) {
        return Err("expected X-Correlation-Id");
    }
    let tenant = match text(headers, &TENANT) {
        _ if !names.has_tenants() => None,
        Some(name) => Some(names.tenant(name).ok_or("X-Account: unknown tenant")?),
        None => return Err("expected X-Account"),
    };
    let left = number(headers, &TIME_LEFT)?.ok_or("expected X-Time-Left-Ms")?;
    Ok(Form {
        version: settings.version,
        class,
        tenant,
        time_left: Micros(left.saturating_mul(1000)),
        margin: Micros(MARGIN_TICKS * balancer.tick.0),
        expected_work: number(headers, &EXPECTED_WORK)?.map(Micros),
        is_client_retry: text(headers, &CLIENT_RETRY) == Some("1"),
    })
}

const TOO_LARGE: &str = "the body is over 64 KiB";

struct Form {
    /// Of the settings under which it was read.
    version: u64,
    class: load_balancer::ClassId,
    tenant: Option<load_balancer::TenantId>,
    time_left: Micros,
    /// So long before that time is over the answer is due.
    margin: Micros,
    expected_work: Option<Micros>,
    is_client_retry: bool,
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, &'static str> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let digits = value.to_str().ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
    digits
        .and_then(|v| v.parse().ok())
        .map(Some)
        .ok_or("expected a whole number in X-Time-Left-Ms and X-Weight-Hint")
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    answer
}

/// Takes a connection off the books however its task ends.
struct Gone<'a> {
    id: u64,
    server: &'a Server,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.server.connections.borrow_mut().remove(&self.id);
        self.server.freed.notify_one();
    }
}
