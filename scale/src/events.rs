//! What happens on a site while requests come: releases, outages and moves of discovery, returns.

use crate::backends::BackendFleet;
use crate::discovery::{Discovery, DiscoveryBehavior};
use crate::endpoint_list::EndpointStatus;
use crate::plan::{EventKind, PlannedEvent, Point};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

/// Steps in which a change goes over the list.
const STEP: Duration = Duration::from_millis(50);
/// A backend of a release drains for so long before it goes ...
const DRAINS: Duration = Duration::from_millis(2_000);
/// ... and starts again this long after it began to drain.
const AWAY: Duration = Duration::from_millis(2_500);

/// A hook that may fail.
pub type Hook<T> = Box<dyn Fn(T) -> Result<(), String>>;

/// What events act on.
pub struct Stage {
    /// The service that tells the list.
    pub discovery: Rc<Discovery>,
    /// The backends.
    pub fleet: Arc<BackendFleet>,
    /// Tells all proxies that discovery has moved.
    pub moved: Hook<SocketAddr>,
    /// Ends all proxies and starts them again.
    pub back: Hook<()>,
}

/// Plays the events of a point, counted from now, to their end.
pub async fn play(p: &Point, stage: Rc<Stage>) -> Result<(), String> {
    let start = Instant::now();
    let mut running = JoinSet::new();
    for event in p.events.clone() {
        let (stage, all) = (stage.clone(), p.backends as usize);
        running.spawn_local(async move {
            sleep_until(start + Duration::from_secs_f64(event.at_s)).await;
            happen(&event, &stage, all).await
        });
    }
    while let Some(ended) = running.join_next().await {
        ended.map_err(|e| format!("an event: {e}"))??;
    }
    Ok(())
}

async fn happen(event: &PlannedEvent, stage: &Stage, all: usize) -> Result<(), String> {
    let lasts = Duration::from_secs_f64(event.for_s);
    let lines = if event.lines == 0 { all } else { event.lines as usize };
    tracing::info!("{:?} for {} s", event.what, event.for_s);
    match event.what {
        EventKind::Release => release(stage, lines, lasts).await,
        EventKind::Refuse => trouble(stage, DiscoveryBehavior::Reject, lasts).await,
        EventKind::Silence => trouble(stage, DiscoveryBehavior::Unresponsive, lasts).await,
        EventKind::Down => trouble(stage, DiscoveryBehavior::Down, lasts).await,
        EventKind::Reload => {
            return (stage.moved)(stage.discovery.relocate().await.map_err(|e| e.to_string())?)
        }
        EventKind::Return => return (stage.back)(()),
    }
    Ok(())
}

async fn trouble(stage: &Stage, behavior: DiscoveryBehavior, lasts: Duration) {
    stage.discovery.set_behavior(behavior).await;
    sleep(lasts).await;
    stage.discovery.set_behavior(DiscoveryBehavior::Serve).await;
}

/// Each backend drains, goes and starts again cold; all are through at the end of the time.
async fn release(stage: &Stage, lines: usize, lasts: Duration) {
    let (start, spread) = (Instant::now(), lasts.saturating_sub(AWAY));
    let (mut drained, mut gone, mut back) = (0, 0, 0);
    while back < lines {
        sleep(STEP).await;
        let past = start.elapsed();
        // Backend i begins to drain at i / lines of the spread.
        let due = |after: Duration| match past.checked_sub(after) {
            None => 0,
            Some(since) => {
                let part = since.as_secs_f64() / spread.as_secs_f64();
                ((part * lines as f64) as usize + 1).min(lines)
            }
        };
        let (now_drained, now_gone, now_back) = (due(Duration::ZERO), due(DRAINS), due(AWAY));
        let started = unix_ms();
        (drained..now_drained).for_each(|i| stage.fleet.drain(i));
        (back..now_back).for_each(|i| stage.fleet.start(i));
        stage.discovery.update_list(|register| {
            (drained..now_drained).for_each(|i| register.set_status(i, EndpointStatus::Draining, 0));
            (gone..now_gone).for_each(|i| register.set_status(i, EndpointStatus::Removed, 0));
            (back..now_back).for_each(|i| register.set_status(i, EndpointStatus::Ready, started));
        });
        (drained, gone, back) = (now_drained, now_gone, now_back);
    }
}

/// The time of the system's clock, as lists tell it.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Changes lines at an even pace for a while; gives how many.
pub async fn touch(discovery: &Discovery, p: &Point) -> u64 {
    let (start, lasts) = (Instant::now(), Duration::from_secs_f64(p.change_s));
    let mut done = 0_u64;
    while start.elapsed() < lasts {
        sleep(STEP).await;
        let due = (start.elapsed().min(lasts).as_secs_f64() * p.changes_per_s) as u64;
        if due > done {
            let lines = u64::from(p.backends);
            discovery.update_list(|register| {
                (done..due).for_each(|i| register.toggle_weight((i % lines) as usize))
            });
            done = due;
        }
    }
    done
}
