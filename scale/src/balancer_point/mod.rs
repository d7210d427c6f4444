//! A point with the balancer alone, without sockets: measures the time per request and per changed entry of
//! the endpoint list, over several seeds.

mod host;

use crate::endpoint_list::EndpointList;
use crate::naming::backend_address;
use crate::plan::Point;
use crate::platform::{read_config, read_endpoint_list};
use crate::point_result::{Figure, PointResult};
use crate::settings::proxy_settings;
use host::Host;
use load_balancer::wire::WireError;
use load_balancer::{Backend, BackendState, ConfigError, EndpointListUpdate, Event};
use std::net::SocketAddr;

/// Requests before the measurement, so that the balancer has statistics of its backends.
const WARM_UP_REQUESTS: u32 = 5_000;
const MEASURED_REQUESTS: u32 = 20_000;
/// Entries of the endpoint list that change, one at a time.
const CHANGED_ENTRIES: u32 = 5_000;
/// Number of changed entries between two requests. The requests make the balancer do work that it defers
/// after a change.
const CHANGES_PER_REQUEST: usize = 4;
/// Port of all backends; nothing listens on it.
const BACKEND_PORT: u16 = 80;

/// Error while running a point with the balancer alone.
#[derive(Debug, thiserror::Error)]
pub enum BalancerPointError {
    /// The library rejected the settings or the endpoint list.
    #[error(transparent)]
    Document(#[from] WireError),
    /// The endpoint list is not valid JSON.
    #[error("endpoint list is not valid JSON: {0}")]
    List(serde_json::Error),
    /// The balancer rejected the configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
}

/// Times measured with one seed, in microseconds.
struct SeedTimes {
    snapshot: f64,
    request: f64,
    changed_entry: f64,
}

/// Distribution of a measured time over the seeds.
struct Spread {
    minimum: Option<f64>,
    median: Option<f64>,
    maximum: Option<f64>,
}

impl Spread {
    fn from_times(times: &[SeedTimes], time: fn(&SeedTimes) -> f64) -> Spread {
        let mut sorted: Vec<f64> = times.iter().map(time).collect();
        sorted.sort_by(f64::total_cmp);
        Spread {
            minimum: sorted.first().copied(),
            median: sorted.get(sorted.len() / 2).copied(),
            maximum: sorted.last().copied(),
        }
    }
}

/// Runs a point once per seed and reports the median, minimum and maximum over the seeds.
pub fn run(point: &Point) -> Result<PointResult, BalancerPointError> {
    let mut times = Vec::new();
    for number in 0..u64::from(point.seeds) {
        times.push(measure(point, point.seed + number)?);
    }
    let snapshot = Spread::from_times(&times, |times| times.snapshot);
    let request = Spread::from_times(&times, |times| times.request);
    let changed_entry = Spread::from_times(&times, |times| times.changed_entry);
    let figures = vec![
        Figure::new("whole_list_us", snapshot.median),
        Figure::new("whole_list_least_us", snapshot.minimum),
        Figure::new("whole_list_most_us", snapshot.maximum),
        Figure::new("request_us", request.median),
        Figure::new("request_least_us", request.minimum),
        Figure::new("request_most_us", request.maximum),
        Figure::new("changed_line_us", changed_entry.median),
        Figure::new("changed_line_least_us", changed_entry.minimum),
        Figure::new("changed_line_most_us", changed_entry.maximum),
    ];
    Ok(PointResult { label: point.label.clone(), size: 0.0, figures, checks: Vec::new() })
}

fn measure(point: &Point, seed: u64) -> Result<SeedTimes, BalancerPointError> {
    let config = read_config(&proxy_settings(point, 0))?;
    let backends = backends(point)?;
    let mut host = Host::new(point, config, seed)?;
    let snapshot =
        Event::EndpointListChanged { update: EndpointListUpdate::Snapshot, backends: backends.clone() };
    let snapshot_us = host.measure_us(|host| host.handle(snapshot));
    run_requests(&mut host, WARM_UP_REQUESTS);
    let requests_us = host.measure_us(|host| run_requests(host, MEASURED_REQUESTS));
    let changes_us = measure_changes(&mut host, &backends);
    Ok(SeedTimes {
        snapshot: snapshot_us,
        request: requests_us / f64::from(MEASURED_REQUESTS),
        changed_entry: changes_us / f64::from(CHANGED_ENTRIES),
    })
}

/// Returns the backends of the point, decoded from the endpoint list as a proxy does.
fn backends(point: &Point) -> Result<Vec<Backend>, BalancerPointError> {
    let addresses: Vec<SocketAddr> =
        (0..point.backends).map(|number| backend_address(number, BACKEND_PORT)).collect();
    let snapshot = EndpointList::new(point, &addresses).response(None);
    let document = serde_json::from_slice(&snapshot.body).map_err(BalancerPointError::List)?;
    Ok(read_endpoint_list(&document)?)
}

fn run_requests(host: &mut Host, count: u32) {
    for _ in 0..count {
        host.run_request();
    }
}

/// Returns the total time of all changed entries, in microseconds. Each entry changes to draining and back to
/// ready, and the mean of the two counts; both changes make the balancer recompute the traffic shares.
fn measure_changes(host: &mut Host, backends: &[Backend]) -> f64 {
    let states = [BackendState::Draining, BackendState::Ready];
    let mut total_us = 0.0;
    for (number, backend) in backends.iter().cycle().take(CHANGED_ENTRIES as usize).enumerate() {
        for state in states {
            let changed = Backend { state, ..backend.clone() };
            let delta =
                Event::EndpointListChanged { update: EndpointListUpdate::Delta, backends: vec![changed] };
            total_us += host.measure_us(|host| host.handle(delta)) / states.len() as f64;
        }
        if number % CHANGES_PER_REQUEST == 0 {
            host.run_request();
        }
    }
    total_us
}
