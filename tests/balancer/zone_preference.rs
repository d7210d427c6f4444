//! How much of the traffic stays in its zone.

use crate::support::{backend, host, serve};
use load_balancer::Config;

/// How many of 300 requests stay in the proxy's zone.
fn sent_to_local_zone(cost: f64) -> usize {
    let config = Config { cross_zone_cost: cost, ..Config::example() };
    let mut host = host(config, (0..9).map(|id| backend(id, id % 3, 0)).collect());
    serve(&mut host, 300, 0, |_| 10_000).iter().filter(|id| *id % 3 == 0).count()
}

/// Guards against traffic that crosses zones for nothing, and a preference where crossing costs nothing.
#[test]
fn where_crossing_zones_costs_traffic_stays_near() {
    assert!(sent_to_local_zone(0.05) >= 270, "{} of 300 stayed", sent_to_local_zone(0.05));
    assert!(
        (70..=130).contains(&sent_to_local_zone(0.0)),
        "{} of 300 stayed without a cost",
        sent_to_local_zone(0.0)
    );
}

/// Guards against an overloaded zone with too few backends.
#[test]
fn a_zone_short_of_backends_sends_its_excess_to_others() {
    // The local zone has one of seven backends, and a third of the traffic: 3/7 of that may stay.
    let config = Config { cross_zone_cost: 0.05, ..Config::example() };
    let backends = (0..7).map(|id| backend(id, if id == 0 { 0 } else { 1 + id % 2 }, 0)).collect();
    let mut host = host(config, backends);
    let local = serve(&mut host, 400, 0, |_| 10_000).iter().filter(|id| **id == 0).count();
    assert!((120..=220).contains(&local), "{local} of 400 stayed on the one local backend");
}
