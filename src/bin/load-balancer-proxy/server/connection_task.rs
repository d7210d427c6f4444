//! The task that serves one client connection, from accept to close.

use super::client_connection::{ClientConnection, CloseMode};
use super::client_socket::{ClientSocket, LastResponse};
use super::listener::Accepted;
use super::read_ahead::ReadAhead;
use super::Server;
use crate::clock::micros;
use crate::headers::MAX_HEAD_BYTES;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use load_balancer::Time;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use tokio::net::TcpStream;

/// Removes the connection from the server's open connections when its task ends, even by a panic.
struct ConnectionSlot<'a> {
    id: u64,
    server: &'a Server,
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        self.server.connections.borrow_mut().remove(&self.id);
        self.server.connections_changed.notify_one();
    }
}

/// What the connection's task does once the connection is asked to close, depending on its state.
enum CloseStep {
    /// Do nothing: the handler answers the current request, with `Connection: close`.
    Wait,
    /// Close after the response to the current request, or immediately if there is none.
    CloseAfterRequest,
    /// Send 408 because the head of the request is incomplete. If its body is incomplete, its handler sends
    /// 408 instead.
    TimeOutRequest,
    /// Drop the connection without a response.
    Drop,
}

impl CloseStep {
    fn of(client: &ClientConnection) -> CloseStep {
        if client.has_sent_nothing() {
            return CloseStep::Drop; // no request has begun, so there is none to answer
        }
        match client.close_mode() {
            Some(CloseMode::TimeOutRequest) if client.is_receiving_head() => CloseStep::TimeOutRequest,
            // If the client has meanwhile begun a request, its handler answers it first.
            Some(CloseMode::Graceful) if !client.is_receiving_request() => CloseStep::CloseAfterRequest,
            _ => CloseStep::Wait,
        }
    }
}

fn last_response(client: &ClientConnection) -> LastResponse {
    match client.close_mode() {
        Some(CloseMode::TimeOutRequest) => LastResponse::Timeout,
        _ => LastResponse::Regular,
    }
}

impl Server {
    /// Spawns a task that serves an accepted connection.
    pub(super) fn spawn_connection(self: Rc<Self>, accepted: Accepted) {
        let Accepted { stream, queued_since } = accepted;
        let _ = stream.set_nodelay(true);
        let queue_time = queued_since.elapsed();
        let client = Rc::new(ClientConnection::new(self.clock, queue_time));
        let id = self.next_id();
        self.connections.borrow_mut().insert(id, client.clone());
        let open = self.connections.borrow().len();
        tracing::debug!(open, queue_time_us = micros(queue_time).0, "client connection accepted");
        tokio::task::spawn_local(async move {
            let _slot = ConnectionSlot { id, server: &self };
            self.serve_connection(stream, &client).await;
        });
    }

    /// Serves a connection until it is closed. The close deadline is computed again after each event that may
    /// change it. Once the connection is asked to close, its state determines the [`CloseStep`].
    async fn serve_connection(&self, stream: TcpStream, client: &ClientConnection) {
        let service = service_fn(|request| self.handle_request(request, client));
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new()).header_read_timeout(None);
        http.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
        let read_ahead = ReadAhead::new(self.memory.read_ahead.clone());
        let socket = ClientSocket::new(stream, read_ahead, client.read_times.clone());
        let connection = http.serve_connection(socket.clone(), service);
        tokio::pin!(connection);
        // Polled after `connection`, which runs the request handler that sets `is_awaiting_response`.
        let disconnected = poll_fn(|cx| {
            if !client.is_awaiting_response() {
                return Poll::Pending;
            }
            if client.take_disconnect_unchecked() && socket.is_disconnected() {
                return Poll::Ready(());
            }
            socket.poll_disconnected(cx)
        });
        tokio::pin!(disconnected);
        loop {
            let deadline = client.close_deadline().map_or(Time::NEVER, |deadline| deadline.at);
            tokio::select! {
                biased;
                result = connection.as_mut() => {
                    if let Err(error) = result {
                        tracing::debug!(%error, "client connection failed");
                    }
                    return self.linger(&socket, client, last_response(client)).await;
                }
                () = &mut disconnected => return, // drops the handler, which notifies the dispatcher
                () = client.close_requested.notified() => {}
                () = client.became_idle.notified() => continue,
                () = tokio::time::sleep_until(self.clock.instant(deadline)) => {
                    if !client.close_if_overdue() {
                        continue;
                    }
                }
            }
            match CloseStep::of(client) {
                CloseStep::Wait => {}
                CloseStep::CloseAfterRequest => connection.as_mut().graceful_shutdown(),
                CloseStep::TimeOutRequest => {
                    socket.send_timeout_response().await;
                    return self.linger(&socket, client, LastResponse::Timeout).await;
                }
                CloseStep::Drop => return,
            }
        }
    }

    /// Waits for the client to close the connection after its last response, unless its slot is needed.
    async fn linger(&self, socket: &ClientSocket, client: &ClientConnection, last_response: LastResponse) {
        client.end(last_response);
        if self.is_at_capacity() {
            self.connections_changed.notify_one();
        }
        tokio::select! {
            biased;
            () = socket.lingering_close(last_response) => {}
            () = client.linger_cut_short.notified() => {}
        }
    }
}
