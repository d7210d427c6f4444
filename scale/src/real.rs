//! A point with processes of the real program: rest, changes of the list, load with its events, the end.

use crate::backends::{self, BackendBehavior, BackendFleet};
use crate::clients::{ClientCounters, Clients};
use crate::discovery::{CallCosts, Discovery, DiscoveryCounters};
use crate::endpoint_list::EndpointList;
use crate::events::{self, Stage};
use crate::plan::Point;
use crate::point_result::{Check, Figure, PointResult};
use crate::process::Process;
use crate::random::proxy_seed;
use crate::site_settings::proxy_settings;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// After the last is ready, so long until rest is measured.
const SETTLE: Duration = Duration::from_secs(1);
/// Readiness is asked for this often.
const ASK: Duration = Duration::from_millis(2);
/// How long a proxy may take to end, beside the longest deadline.
const ENDS: Duration = Duration::from_secs(4);

/// Where the program is: told by the plan, or beside this one.
pub fn program(told: Option<&Path>) -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|e| format!("the path of this program: {e}"))?;
    let found = told.map_or_else(|| own.with_file_name("load-balancer-proxy"), Path::to_path_buf);
    match found.is_file() {
        true => Ok(found),
        false => Err(format!("program: expected the built proxy at {}", found.display())),
    }
}

/// A folder for the settings' files, gone with its handle.
pub struct Folder(PathBuf);

impl Folder {
    /// Makes one of this process's own.
    pub fn make() -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("scale-test-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn config(p: &Point, position: u32, discovery: SocketAddr, known: Option<&Value>) -> Value {
    let mut config = json!({
        "name": format!("n{position}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": format!("{:x}", proxy_seed(p.seed, position)),
        "limits": {"sockets": p.sockets}, "settings": proxy_settings(p, position),
    });
    if let Some(known) = known {
        config["known"] = known.clone();
    }
    config
}

/// Plays a point.
pub async fn play(p: &Point, program: &Path, folder: &Folder) -> Result<PointResult, String> {
    let listeners = backends::listen(p.backends).map_err(|e| e.to_string())?;
    let addresses = listeners.addresses.clone();
    let fleet = Arc::new(BackendFleet::new(addresses.len(), BackendBehavior::of(p), p.seed));
    let (_end_of_backends, ending) = tokio::sync::watch::channel(());
    backends::serve(&fleet, listeners, &ending).map_err(|e| e.to_string())?;
    let discovery = Rc::new(
        Discovery::start(EndpointList::new(p, &addresses), CallCosts::of(p)).map_err(|e| e.to_string())?,
    );
    let known = p.known.then(|| serde_json::from_slice(&discovery.snapshot().body).unwrap_or_default());
    let mut proxies = Vec::new();
    for position in 0..p.proxies {
        let config = config(p, position, discovery.address(), known.as_ref());
        proxies.push(Process::start(program, &folder.0, position, &config)?);
    }
    let proxies = Rc::new(RefCell::new(proxies));
    let mut measured = Measured { ready: ready(p, &proxies).await, ..Measured::default() };
    sleep(SETTLE).await;
    measured.memory = memory(&proxies);
    measured.rest = phase(&discovery, &proxies, sleep(Duration::from_secs_f64(p.rest_s))).await.0;
    let (phase_of_change, lines) = phase(&discovery, &proxies, events::touch(&discovery, p)).await;
    (measured.change, measured.lines) = (phase_of_change, lines);
    discovery.reset_peaks();
    let (phase_of_load, tally) = phase(&discovery, &proxies, load(p, &discovery, &fleet, &proxies)).await;
    measured.load = phase_of_load;
    measured.memory_after = memory(&proxies);
    let codes = end(p, &proxies).await;
    Ok(row(p, &measured, &tally?, &fleet.counters(), &discovery.counters(), &codes))
}

/// What a phase took of all proxies and of discovery.
#[derive(Clone, Copy, Debug, Default)]
struct Phase {
    seconds: f64,
    /// Processor time of all proxies.
    processor_s: Option<f64>,
    /// Bytes between proxies and discovery, both ways.
    control: u64,
}

async fn phase<T>(
    discovery: &Discovery, proxies: &RefCell<Vec<Process>>, work: impl std::future::Future<Output = T>,
) -> (Phase, T) {
    let (start, before, bytes) = (Instant::now(), processor(proxies), discovery.counters().bytes());
    let made = work.await;
    let processor_s = processor(proxies).zip(before).map(|(after, before)| after - before);
    let control = discovery.counters().bytes() - bytes;
    (Phase { seconds: start.elapsed().as_secs_f64(), processor_s, control }, made)
}

fn processor(proxies: &RefCell<Vec<Process>>) -> Option<f64> {
    proxies.borrow().iter().map(Process::processor_s).sum()
}

/// The mean of all proxies, in bytes.
fn memory(proxies: &RefCell<Vec<Process>>) -> Option<f64> {
    let proxies = proxies.borrow();
    let all: Option<u64> = proxies.iter().map(Process::memory).sum();
    all.map(|sum| sum as f64 / proxies.len() as f64)
}

/// How long each proxy took from its start to its readiness; none for one that did not come so far.
async fn ready(p: &Point, proxies: &RefCell<Vec<Process>>) -> Vec<Option<Duration>> {
    let waits: Vec<_> = proxies.borrow().iter().map(|r| (r.address, r.since)).collect();
    let limit = Duration::from_secs_f64(p.ready_s);
    let wait = |(address, since): (SocketAddr, Instant)| async move {
        let asked = timeout(limit, async {
            while !is_ready(address).await {
                sleep(ASK).await
            }
        })
        .await;
        asked.ok().map(|()| since.elapsed())
    };
    let tasks: Vec<_> = waits.into_iter().map(|w| tokio::task::spawn_local(wait(w))).collect();
    let mut took = Vec::new();
    for task in tasks {
        took.push(task.await.ok().flatten());
    }
    took
}

async fn is_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").await?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await?;
        Ok::<bool, std::io::Error>(head.ends_with(b" 200"))
    };
    asked.await.unwrap_or(false)
}

/// Requests for the point's time, and what happens meanwhile; ends with the last answer.
async fn load(
    p: &Point, discovery: &Rc<Discovery>, fleet: &Arc<BackendFleet>, proxies: &Rc<RefCell<Vec<Process>>>,
) -> Result<ClientCounters, String> {
    let addresses: Vec<SocketAddr> = proxies.borrow().iter().map(|r| r.address).collect();
    let clients = Clients::start(p, &addresses).map_err(|e| e.to_string())?;
    let (point, all) = (p.clone(), proxies.clone());
    let moved = Box::new(move |to| {
        let proxies = all.borrow();
        let mut each = proxies.iter().zip(0_u32..);
        each.try_for_each(|(proxy, position)| proxy.reload(&config(&point, position, to, None)))
    });
    let back = Box::new(|()| Err("processes do not return in this mode".to_string()));
    let (discovery, fleet) = (discovery.clone(), fleet.clone());
    events::play(p, Rc::new(Stage { discovery, fleet, moved, back })).await?;
    while !clients.are_done() {
        sleep(Duration::from_millis(10)).await;
    }
    Ok(clients.counters())
}

/// SIGTERM to all; gives each one's exit code, none where a signal ended it or nothing did in time.
async fn end(p: &Point, proxies: &RefCell<Vec<Process>>) -> Vec<Option<i32>> {
    for proxy in proxies.borrow().iter() {
        if let Err(e) = proxy.terminate() {
            tracing::error!("SIGTERM: {e}");
        }
    }
    let limit = Instant::now() + Duration::from_millis(p.deadline_ms) + ENDS;
    let count = proxies.borrow().len();
    let mut codes = vec![None; count];
    while codes.iter().any(Option::is_none) && Instant::now() < limit {
        for (proxy, code) in proxies.borrow_mut().iter_mut().zip(&mut codes) {
            *code = code.or_else(|| proxy.ended().and_then(|status| status.code()));
        }
        sleep(Duration::from_millis(10)).await;
    }
    codes
}

#[derive(Default)]
struct Measured {
    ready: Vec<Option<Duration>>,
    memory: Option<f64>,
    memory_after: Option<f64>,
    rest: Phase,
    change: Phase,
    /// Lines that changed.
    lines: u64,
    load: Phase,
}

impl Measured {
    /// Processor time of one proxy at rest, as a part of a core.
    fn rest_share(&self, proxies: f64) -> Option<f64> {
        let spent = self.rest.processor_s.filter(|_| self.rest.seconds > 0.1)?;
        Some(spent / self.rest.seconds / proxies)
    }

    /// What a phase took beyond rest, for each of so many units, in microseconds.
    fn each_us(&self, phase: Phase, units: f64, proxies: f64) -> Option<f64> {
        let rest = self.rest_share(proxies).unwrap_or(0.0) * phase.seconds * proxies;
        phase.processor_s.filter(|_| units > 0.0).map(|spent| (spent - rest) / units * 1e6)
    }
}

fn row(
    p: &Point, m: &Measured, tally: &ClientCounters, backends: &backends::BackendCounters,
    discovery: &DiscoveryCounters, codes: &[Option<i32>],
) -> PointResult {
    let proxies = f64::from(p.proxies);
    let slowest = m.ready.iter().copied().collect::<Option<Vec<_>>>().and_then(|all| all.into_iter().max());
    let per_s =
        |phase: Phase| Some(phase.control as f64).filter(|_| phase.seconds > 0.1).map(|b| b / phase.seconds);
    let added = |part: f64| (tally.served > 0).then(|| tally.added_latency.quantile_us(part) as f64);
    let mb = |bytes: Option<f64>| bytes.map(|b| b / 1e6);
    let count = |n: u64| Some(n as f64);
    let figures = vec![
        Figure::new("memory_mb", mb(m.memory)),
        Figure::new("memory_after_load_mb", mb(m.memory_after)),
        Figure::new("ready_ms", slowest.map(|t| t.as_secs_f64() * 1e3)),
        Figure::new("rest_core_share", m.rest_share(proxies)),
        Figure::new("changed_line_us", m.each_us(m.change, m.lines as f64 * proxies, proxies)),
        Figure::new("request_us", m.each_us(m.load, tally.answered() as f64, proxies)),
        Figure::new("added_p50_us", added(0.5)),
        Figure::new("added_p99_us", added(0.99)),
        Figure::new("added_p999_us", added(0.999)),
        Figure::new("added_worst_us", added(1.0)),
        Figure::new("pause_ms", Some(tally.longest_pause.as_secs_f64() * 1e3)),
        Figure::new("control_rest_bytes_per_s", per_s(m.rest)),
        Figure::new("control_change_bytes_per_s", per_s(m.change)),
        Figure::new("control_load_bytes_per_s", per_s(m.load)),
        Figure::new("discovery_calls", count(discovery.calls)),
        Figure::new("discovery_lists", count(discovery.lists)),
        Figure::new("discovery_refused", count(discovery.rejected)),
        Figure::new("discovery_longest_queue", count(discovery.longest_queue)),
        Figure::new("discovery_peak_calls_per_s", count(discovery.peak_calls_per_s)),
        Figure::new("planned", count(tally.planned)),
        Figure::new("served", count(tally.served)),
        Figure::new("refused", count(tally.rejected)),
        Figure::new("failed", count(tally.failed)),
        Figure::new("lost", count(tally.lost)),
        Figure::new("unsent", count(tally.unsent)),
        Figure::new("crossed", count(tally.resent)),
        Figure::new("connections_to_backends", count(backends.connections)),
        Figure::new("sent_to_draining", count(backends.rejected)),
        Figure::new("sent_to_draining_late", count(backends.late)),
        Figure::new("cold_sum_of_limit", Some(backends.warming_peak_of_limit)),
    ];
    let size = f64::from(p.proxies);
    PointResult { label: p.label.clone(), size, figures, checks: checks(m, tally, backends, codes) }
}

fn checks(
    m: &Measured, tally: &ClientCounters, backends: &backends::BackendCounters, codes: &[Option<i32>],
) -> Vec<Check> {
    let ready = m.ready.iter().flatten().count();
    let clean = codes.iter().filter(|c| **c == Some(0)).count();
    let owed = tally.planned - tally.unsent;
    vec![
        Check {
            name: "every proxy becomes ready",
            holds: ready == m.ready.len(),
            seen: format!("{ready} of {}", m.ready.len()),
        },
        Check {
            name: "every request taken has one final answer",
            holds: tally.lost == 0 && tally.unexpected == 0 && tally.answered() == owed,
            seen: format!(
                "{} answers to {owed}, {} lost, {} unasked, {} unsent",
                tally.answered(),
                tally.lost,
                tally.unexpected,
                tally.unsent
            ),
        },
        Check {
            name: "something is served",
            holds: tally.planned == 0 || tally.served > 0,
            seen: format!("{} of {}", tally.served, tally.planned),
        },
        Check {
            name: "nothing reaches a draining backend past the limit and the slack",
            holds: backends.late == 0,
            seen: format!("{} late of {} while draining", backends.late, backends.rejected),
        },
        Check {
            name: "SIGTERM ends every proxy with code 0",
            holds: clean == codes.len(),
            seen: format!("{clean} of {}", codes.len()),
        },
    ]
}
