//! One attempt: acquires a connection, writes the request, reads the response, and determines the outcome.

use super::backend::Upstream;
use super::connection_pool::{ConnectionPool, PooledConnection};
use super::request::UpstreamRequest;
use super::response::ExchangeError;
use super::socket::WriteProgress;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use load_balancer::{Outcome, Time};
use std::future::{pending, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;

/// How an attempt ended.
pub struct UpstreamResult {
    /// The outcome that is reported to the balancer.
    pub outcome: Outcome,
    /// The response for the client; `Some` only if the outcome is [`Outcome::Success`].
    pub response: Option<Response<Bytes>>,
}

impl UpstreamResult {
    /// Creates the result of an attempt whose response is forwarded to the client.
    pub fn served(response: Response<Bytes>) -> UpstreamResult {
        UpstreamResult { outcome: Outcome::Success, response: Some(response) }
    }
}

impl From<Outcome> for UpstreamResult {
    fn from(outcome: Outcome) -> UpstreamResult {
        UpstreamResult { outcome, response: None }
    }
}

/// Time limits of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptLimits {
    /// The request must be fully written by this time; otherwise the attempt ends as [`Outcome::NotSent`].
    pub write_by: Time,
    /// Deadline of the client's request, from which the time left that the backend receives is computed.
    pub deadline: Time,
}

/// A reused connection failed before any byte of the request was written, so that the attempt may
/// continue on another connection.
struct StaleConnection;

impl ConnectionPool {
    /// Makes one attempt. Dropping the future, as the dispatcher does at the deadline and to cancel the
    /// attempt, closes the connection.
    ///
    /// | event | outcome |
    /// | --- | --- |
    /// | complete response | [`Outcome::Success`], [`Outcome::ErrorResponse`] or [`Outcome::Rejected`] |
    /// | request not fully written in time, or answered before that | [`Outcome::NotSent`] |
    /// | the backend started to drain, or the proxy's machine ran out of resources | [`Outcome::NotSent`] |
    /// | no connection, or it failed before the request was fully written | [`Outcome::ConnectFailed`] |
    /// | the connection failed after the request was fully written | [`Outcome::ConnectionReset`] |
    /// | malformed response | [`Outcome::ErrorResponse`] |
    pub async fn attempt(
        &self, upstream: &Rc<Upstream>, request: &UpstreamRequest, limits: AttemptLimits,
    ) -> UpstreamResult {
        let attempt = Attempt { pool: self, upstream, request, limits };
        let mut write_window_closed = pin!(attempt.write_window_closed());
        loop {
            // Retries on another connection if the one used was stale.
            if let Ok(result) = attempt.use_connection(write_window_closed.as_mut()).await {
                return result;
            }
        }
    }
}

/// The parameters of one attempt.
struct Attempt<'a> {
    pool: &'a ConnectionPool,
    upstream: &'a Rc<Upstream>,
    request: &'a UpstreamRequest,
    limits: AttemptLimits,
}

impl Attempt<'_> {
    /// Completes when the request must no longer be written: it was answered, or `write_by` has passed.
    async fn write_window_closed(&self) {
        tokio::select! {
            () = self.request.wait_until_answered() => {}
            () = tokio::time::sleep_until(self.pool.clock.instant(self.limits.write_by)) => {}
        }
    }

    /// Acquires a connection and performs the exchange over it.
    async fn use_connection(
        &self, mut write_window_closed: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<UpstreamResult, StaleConnection> {
        let acquired = tokio::select! {
            biased;
            () = &mut write_window_closed => return Ok(Outcome::NotSent.into()),
            acquired = self.pool.acquire(self.upstream) => acquired,
        };
        let pooled = match acquired {
            Ok(pooled) => pooled,
            Err(error) => return Ok(error.outcome().into()),
        };
        // The backend may have started to drain while the connection was being established.
        if !self.upstream.is_ready() {
            return Ok(Outcome::NotSent.into());
        }
        let Some(request) = self.request.to_http(self.limits.deadline - self.pool.clock.now()) else {
            return Ok(Outcome::NotSent.into());
        };
        self.exchange_over(pooled, request, write_window_closed).await
    }

    /// Writes the request and reads the response. Stops if the request is not fully written in time.
    async fn exchange_over(
        &self, pooled: PooledConnection, request: Request<Full<Bytes>>,
        write_window_closed: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<UpstreamResult, StaleConnection> {
        let PooledConnection { mut connection, is_reused } = pooled;
        let progress = connection.write_progress();
        let not_written_in_time = async {
            write_window_closed.await;
            if progress.get() == WriteProgress::Complete {
                pending::<()>().await; // the backend may be executing it; only the balancer may cancel it now
            }
        };
        let exchanged = tokio::select! {
            biased;
            exchanged = connection.exchange(request, &self.pool.response_bodies) => exchanged,
            () = not_written_in_time => return Ok(Outcome::NotSent.into()),
        };
        match exchanged {
            Ok(result) => {
                self.pool.release(self.upstream, connection).await;
                Ok(result)
            }
            Err(_) if is_reused && progress.get() == WriteProgress::NotStarted => Err(StaleConnection),
            Err(error) => Ok(failure_outcome(&error, progress.get()).into()),
        }
    }
}

/// Returns the outcome of a failed exchange.
fn failure_outcome(error: &ExchangeError, progress: WriteProgress) -> Outcome {
    match (progress, error) {
        (WriteProgress::NotStarted | WriteProgress::Partial, _) => Outcome::ConnectFailed,
        (WriteProgress::Complete, ExchangeError::ConnectionBroken) => Outcome::ConnectionReset,
        (WriteProgress::Complete, ExchangeError::MalformedResponse) => Outcome::ErrorResponse,
    }
}
