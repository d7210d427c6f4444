//! Reads the body of a request, within its deadline and the memory for bodies.

use super::client_connection::{ClientConnection, CloseMode};
use super::request_error::RequestError;
use super::Server;
use crate::memory::BodyReservation;
use bytes::Bytes;
use hyper::body::Incoming;
use load_balancer::net::body::BodyError;
use load_balancer::Time;
use std::pin::pin;
use std::time::Duration;

/// How often a request that waits for memory looks for a stalled one.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(25);

impl Server {
    /// Reads the body of a request; gives up at the deadline or when the connection is asked to close.
    pub(super) async fn read_body(
        &self, body: Incoming, client: &ClientConnection, deadline: Time,
    ) -> Result<Bytes, RequestError> {
        let read = tokio::select! {
            biased;
            read = self.read_within_budget(body, client) => read,
            () = client.request_timed_out.notified() => return Err(RequestError::BodyIncomplete),
            () = tokio::time::sleep_until(self.clock.instant(deadline)) => {
                return Err(RequestError::BodyIncomplete);
            }
        };
        read.map_err(|error| match error {
            BodyError::TooLarge { .. } => RequestError::BodyTooLarge,
            BodyError::Connection(_) => RequestError::InvalidBody,
        })
    }

    async fn read_within_budget(
        &self, body: Incoming, client: &ClientConnection,
    ) -> Result<Bytes, BodyError> {
        let reservation = self.reserve_body(&body).await;
        client.begin_body();
        reservation.read(body).await
    }

    /// Waits for the memory of a body. Meanwhile, times out bodies that have stalled, so that clients that
    /// stop in their requests do not hold all memory.
    async fn reserve_body(&self, body: &Incoming) -> BodyReservation {
        let mut reserve = pin!(self.memory.request_bodies.reserve(body));
        loop {
            tokio::select! {
                biased;
                reservation = &mut reserve => return reservation,
                () = tokio::time::sleep(STALL_CHECK_INTERVAL) => {
                    // The event loop may be late: what has arrived meanwhile is read before.
                    tokio::task::yield_now().await;
                    self.time_out_stalled_body();
                }
            }
        }
    }

    /// Times out the request whose body has been stalled for the longest time, if there is one.
    fn time_out_stalled_body(&self) {
        let connections = self.connections.borrow();
        let unobserved_time = self.stall_detector.unobserved_time();
        let stalled_since = |client: &ClientConnection| client.body_stalled_since(unobserved_time);
        let stalled = connections.values().filter_map(|client| Some((stalled_since(client)?, client)));
        if let Some((_, client)) = stalled.min_by_key(|(since, _)| *since) {
            tracing::debug!("stalled request timed out to free its memory");
            client.request_close(CloseMode::TimeOutRequest);
        }
    }
}
