//! Open-loop clients: each request is sent at its planned time, independent of the outcome of earlier
//! requests, and latency counts from the planned time. This avoids coordinated omission.

mod connection_pool;
mod counters;
mod schedule;

pub use counters::ClientCounters;

use crate::latency::HistogramError;
use crate::local_runtime::{spawn_local_runtime, spawn_thread, ThreadError};
use crate::plan::Point;
use connection_pool::ConnectionPool;
use counters::{RequestOutcome, SharedCounters};
use schedule::PlannedRequest;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

/// Maximum number of due requests that wait to be sent; further ones count as unsent.
const DUE_QUEUE_CAPACITY: usize = 4_096;
/// How long after its deadline a request still waits for the response.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_secs(1);

/// Error while starting the clients.
#[derive(Debug, thiserror::Error)]
pub enum ClientsError {
    /// The latency histogram could not be created.
    #[error(transparent)]
    Histogram(#[from] HistogramError),
    /// A thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
}

/// Running clients; their threads end once every request has an outcome.
pub struct Clients {
    counters: SharedCounters,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts the clients: Poisson arrivals distributed uniformly over the proxies, for the point's load
    /// phase.
    pub fn start(point: &Point, proxies: &[SocketAddr]) -> Result<Clients, ClientsError> {
        let counters = SharedCounters::new()?;
        let (sender, due_requests) = mpsc::channel(DUE_QUEUE_CAPACITY);
        let sender_thread = {
            let (proxies, counters) = (proxies.to_vec(), counters.clone());
            let max_connections = point.connections;
            let deadline = Duration::from_millis(point.deadline_ms);
            spawn_local_runtime("clients", move || async move {
                let pools = connection_pools(proxies, max_connections, deadline, &counters);
                send_requests(&pools, due_requests, deadline, &counters).await;
            })?
        };
        let schedule_thread = {
            let (point, proxies, counters) = (point.clone(), proxies.len(), counters.clone());
            spawn_thread("arrivals", move || schedule::run(&point, proxies, &sender, &counters))?
        };
        Ok(Clients { counters, threads: vec![sender_thread, schedule_thread] })
    }

    /// Returns whether every request has an outcome.
    pub fn is_finished(&self) -> bool {
        self.threads.iter().all(JoinHandle::is_finished)
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> ClientCounters {
        self.counters.snapshot()
    }
}

fn connection_pools(
    proxies: Vec<SocketAddr>, max_connections: u32, deadline: Duration, counters: &SharedCounters,
) -> Vec<Rc<ConnectionPool>> {
    let pool = |proxy| Rc::new(ConnectionPool::new(proxy, max_connections, deadline, counters.clone()));
    proxies.into_iter().map(pool).collect()
}

async fn send_requests(
    pools: &[Rc<ConnectionPool>], mut due_requests: mpsc::Receiver<PlannedRequest>, deadline: Duration,
    counters: &SharedCounters,
) {
    let mut in_flight = JoinSet::new();
    while let Some(request) = due_requests.recv().await {
        let (pool, counters) = (pools[request.proxy].clone(), counters.clone());
        in_flight.spawn_local(async move {
            let wait_until = Instant::from_std(request.planned_at + deadline + RESPONSE_GRACE_PERIOD);
            let outcome = timeout_at(wait_until, pool.exchange(&request)).await;
            counters.lock().record(request.planned_at, outcome.unwrap_or(RequestOutcome::Lost));
        });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
}
