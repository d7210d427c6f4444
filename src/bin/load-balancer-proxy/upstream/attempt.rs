//! One attempt: a connection is acquired, the request written, the response read, all of it to one outcome.

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
    /// The outcome for the balancer.
    pub outcome: Outcome,
    /// The response for the client, where the outcome is [`Outcome::Success`].
    pub response: Option<Response<Bytes>>,
}

impl UpstreamResult {
    /// The backend served the request.
    pub fn served(response: Response<Bytes>) -> UpstreamResult {
        UpstreamResult { outcome: Outcome::Success, response: Some(response) }
    }
}

impl From<Outcome> for UpstreamResult {
    fn from(outcome: Outcome) -> UpstreamResult {
        UpstreamResult { outcome, response: None }
    }
}

/// The times that bound an attempt.
#[derive(Clone, Copy)]
pub struct AttemptLimits {
    /// A request that is not fully written by then is not sent.
    pub write_by: Time,
    /// When the client's time is over: what is left of it is sent to the backend.
    pub deadline: Time,
}

/// A reused connection failed before a byte of the request was written: the attempt may use another one.
struct StaleConnection;

impl ConnectionPool {
    /// Makes one attempt; dropping the future, as the dispatcher does at the deadline, closes its connection.
    ///
    /// | what happened | outcome |
    /// | --- | --- |
    /// | a complete response | [`Outcome::Success`], [`Outcome::ErrorResponse`] or [`Outcome::Rejected`] |
    /// | the time to write was over, or the request was answered | [`Outcome::NotSent`] |
    /// | the backend began to drain, or this machine was short of resources | [`Outcome::NotSent`] |
    /// | no connection, or it broke before the request was written whole | [`Outcome::ConnectFailed`] |
    /// | the connection broke after that | [`Outcome::ConnectionReset`] |
    /// | what came back is no valid response | [`Outcome::ErrorResponse`] |
    pub async fn attempt(
        &self, upstream: &Rc<Upstream>, request: &UpstreamRequest, limits: AttemptLimits,
    ) -> UpstreamResult {
        let attempt = Attempt { pool: self, upstream, request, limits };
        let mut write_window_over = pin!(attempt.write_window_over());
        loop {
            // A stale connection is replaced by another.
            if let Ok(result) = attempt.use_connection(write_window_over.as_mut()).await {
                return result;
            }
        }
    }
}

/// What one attempt works with.
struct Attempt<'a> {
    pool: &'a ConnectionPool,
    upstream: &'a Rc<Upstream>,
    request: &'a UpstreamRequest,
    limits: AttemptLimits,
}

impl Attempt<'_> {
    /// Waits until the request must not be written any more.
    async fn write_window_over(&self) {
        tokio::select! {
            () = self.request.wait_until_answered() => {}
            () = tokio::time::sleep_until(self.pool.clock.instant(self.limits.write_by)) => {}
        }
    }

    /// Acquires a connection and makes the exchange over it.
    async fn use_connection(
        &self, mut write_window_over: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<UpstreamResult, StaleConnection> {
        let acquired = tokio::select! {
            biased;
            () = &mut write_window_over => return Ok(Outcome::NotSent.into()),
            acquired = self.pool.acquire(self.upstream) => acquired,
        };
        let pooled = match acquired {
            Ok(pooled) => pooled,
            Err(error) => return Ok(error.outcome().into()),
        };
        // It may have begun to drain while the connection came up.
        if !self.upstream.is_ready() {
            return Ok(Outcome::NotSent.into());
        }
        let Some(request) = self.request.to_http(self.limits.deadline - self.pool.clock.now()) else {
            return Ok(Outcome::NotSent.into());
        };
        self.exchange_over(pooled, request, write_window_over).await
    }

    /// Writes the request and reads the response, if the request is fully written in time.
    async fn exchange_over(
        &self, pooled: PooledConnection, request: Request<Full<Bytes>>,
        write_window_over: Pin<&mut impl Future<Output = ()>>,
    ) -> Result<UpstreamResult, StaleConnection> {
        let PooledConnection { mut connection, is_reused } = pooled;
        let progress = connection.write_progress();
        let unwritten = async {
            write_window_over.await;
            if progress.get() == WriteProgress::Complete {
                pending::<()>().await; // it may be executed now, and only the balancer may cancel it
            }
        };
        let exchanged = tokio::select! {
            biased;
            exchanged = connection.exchange(request) => exchanged,
            () = unwritten => return Ok(Outcome::NotSent.into()),
        };
        match exchanged {
            Ok(result) => {
                self.pool.release(self.upstream, connection).await;
                Ok(result)
            }
            Err(_) if is_reused && progress.get() == WriteProgress::NotStarted => Err(StaleConnection),
            Err(error) => Ok(failed_exchange(&error, progress.get()).into()),
        }
    }
}

/// The outcome of an exchange without a response.
fn failed_exchange(error: &ExchangeError, progress: WriteProgress) -> Outcome {
    match (progress, error) {
        (WriteProgress::NotStarted | WriteProgress::Partial, _) => Outcome::ConnectFailed,
        (WriteProgress::Complete, ExchangeError::ConnectionBroken) => Outcome::ConnectionReset,
        (WriteProgress::Complete, ExchangeError::MalformedResponse) => Outcome::ErrorResponse,
    }
}
