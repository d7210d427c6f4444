//! Events during a point's load phase: releases of backends, outages and relocations of discovery, restarts
//! of proxies.

use crate::backends::BackendFleet;
use crate::discovery::{Discovery, DiscoveryBehavior, DiscoveryError};
use crate::endpoint_list::EndpointStatus;
use crate::plan::{EventKind, PlannedEvent, Point};
use crate::proxy_process::ProcessError;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::{JoinError, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

/// Time between two updates of the endpoint list while entries change.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// How long a backend drains during a release before it is removed from the list.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time from the start of draining to the restart of a backend during a release.
const RESTART_DELAY: Duration = Duration::from_millis(2_500);

/// Error while running an event.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The event's task panicked.
    #[error("event failed: {0}")]
    Panicked(JoinError),
    /// Discovery could not be relocated.
    #[error(transparent)]
    Discovery(#[from] DiscoveryError),
    /// A proxy could not be signalled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The event requires a restart of proxies that run as processes.
    #[error("event `return` is not supported for proxies that run as processes")]
    RestartUnsupported,
}

/// Actions of events on the proxies of a point.
pub trait ProxyControl {
    /// Notifies all proxies of the new address of discovery.
    fn discovery_relocated(&self, address: SocketAddr) -> Result<(), EventError>;
    /// Restarts all proxies at once, without a cached endpoint list.
    fn restart_all(&self) -> Result<(), EventError>;
}

/// Components that events act on.
pub struct EventTargets {
    /// The discovery service.
    pub discovery: Rc<Discovery>,
    /// The backends.
    pub backends: Arc<BackendFleet>,
    /// The proxies.
    pub proxies: Box<dyn ProxyControl>,
}

/// Runs the events of a point, with times relative to this call, and returns when all have ended.
pub async fn run(point: &Point, targets: Rc<EventTargets>) -> Result<(), EventError> {
    let start = Instant::now();
    let mut running = JoinSet::new();
    for event in point.events.clone() {
        let targets = targets.clone();
        let backends = point.backends as usize;
        running.spawn_local(async move {
            sleep_until(start + Duration::from_secs_f64(event.at_s)).await;
            run_event(&event, &targets, backends).await
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.map_err(EventError::Panicked)??;
    }
    Ok(())
}

async fn run_event(event: &PlannedEvent, targets: &EventTargets, backends: usize) -> Result<(), EventError> {
    let duration = Duration::from_secs_f64(event.for_s);
    let released_backends = if event.lines == 0 { backends } else { event.lines as usize };
    tracing::info!("event {:?} started, duration {} s", event.what, event.for_s);
    match event.what {
        EventKind::Release => release(targets, released_backends, duration).await,
        EventKind::Refuse => disrupt_discovery(targets, DiscoveryBehavior::Reject, duration).await,
        EventKind::Silence => disrupt_discovery(targets, DiscoveryBehavior::Unresponsive, duration).await,
        EventKind::Down => disrupt_discovery(targets, DiscoveryBehavior::Down, duration).await,
        EventKind::Reload => targets.proxies.discovery_relocated(targets.discovery.relocate().await?)?,
        EventKind::Return => targets.proxies.restart_all()?,
    }
    Ok(())
}

async fn disrupt_discovery(targets: &EventTargets, behavior: DiscoveryBehavior, duration: Duration) {
    targets.discovery.set_behavior(behavior).await;
    sleep(duration).await;
    targets.discovery.set_behavior(DiscoveryBehavior::Serve).await;
}

/// Number of backends that have completed each step of a release; backends take each step in index order.
#[derive(Clone, Copy, Default)]
struct ReleaseProgress {
    drained: usize,
    removed: usize,
    restarted: usize,
}

impl ReleaseProgress {
    /// Returns the progress at `elapsed` after the start of the release, with the drains spread evenly over
    /// `spread`.
    fn at(elapsed: Duration, backends: usize, spread: Duration) -> ReleaseProgress {
        let due_after = |delay: Duration| {
            let Some(elapsed) = elapsed.checked_sub(delay) else { return 0 };
            let fraction = elapsed.as_secs_f64() / spread.as_secs_f64();
            ((fraction * backends as f64) as usize + 1).min(backends)
        };
        ReleaseProgress {
            drained: due_after(Duration::ZERO),
            removed: due_after(DRAIN_TIME),
            restarted: due_after(RESTART_DELAY),
        }
    }
}

/// Drains, removes and restarts each of the first `backends` backends. All have restarted after `duration`.
async fn release(targets: &EventTargets, backends: usize, duration: Duration) {
    let start = Instant::now();
    let spread = duration.saturating_sub(RESTART_DELAY);
    let mut done = ReleaseProgress::default();
    while done.restarted < backends {
        sleep(UPDATE_INTERVAL).await;
        let due = ReleaseProgress::at(start.elapsed(), backends, spread);
        apply_release(targets, done, due);
        done = due;
    }
}

fn apply_release(targets: &EventTargets, done: ReleaseProgress, due: ReleaseProgress) {
    let drained: Range<usize> = done.drained..due.drained;
    let removed: Range<usize> = done.removed..due.removed;
    let restarted: Range<usize> = done.restarted..due.restarted;
    let started_at_ms = unix_ms();
    for backend in drained.clone() {
        targets.backends.drain(backend);
    }
    for backend in restarted.clone() {
        targets.backends.start(backend);
    }
    targets.discovery.update_list(|list| {
        for backend in drained {
            list.set_status(backend, EndpointStatus::Draining, 0);
        }
        for backend in removed {
            list.set_status(backend, EndpointStatus::Removed, 0);
        }
        for backend in restarted {
            list.set_status(backend, EndpointStatus::Ready, started_at_ms);
        }
    });
}

/// Returns the system time in Unix milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Changes endpoint list entries at a constant rate for the point's change phase. Returns the number of
/// changes.
pub async fn change_entries(discovery: &Discovery, point: &Point) -> u64 {
    let start = Instant::now();
    let duration = Duration::from_secs_f64(point.change_s);
    let backends = u64::from(point.backends);
    let mut changed = 0_u64;
    while start.elapsed() < duration {
        sleep(UPDATE_INTERVAL).await;
        let due = (start.elapsed().min(duration).as_secs_f64() * point.changes_per_s) as u64;
        if due > changed {
            discovery.update_list(|list| {
                for change in changed..due {
                    list.toggle_weight((change % backends) as usize);
                }
            });
            changed = due;
        }
    }
    changed
}
