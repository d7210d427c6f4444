//! Zone preference: the traffic that stays in the proxy's zone.

use crate::support::{backend, host, serve};
use load_balancer::Config;

/// Number of requests, of 300, that stay in the proxy's zone at this cost of crossing zones.
fn sent_to_local_zone(cost: f64) -> usize {
    let config = Config { cross_zone_cost: cost, ..Config::example() };
    let mut host = host(config, (0..9).map(|id| backend(id, id % 3, 0)).collect());
    serve(&mut host, 300, 0, |_| 10_000).iter().filter(|id| *id % 3 == 0).count()
}

/// Guards against needless cross-zone traffic, and against a zone preference if crossing zones has no cost.
#[test]
fn traffic_stays_local_only_if_crossing_zones_has_a_cost() {
    assert!(
        sent_to_local_zone(0.05) >= 270,
        "only {} of 300 requests stayed in the proxy's zone",
        sent_to_local_zone(0.05)
    );
    assert!(
        (70..=130).contains(&sent_to_local_zone(0.0)),
        "{} of 300 requests stayed in one of three zones without a cost, expected 70 to 130",
        sent_to_local_zone(0.0)
    );
}

/// Guards against the overload of a zone with too few backends.
#[test]
fn a_zone_with_too_few_backends_sends_excess_to_other_zones() {
    // The local zone has one of seven backends and a third of the traffic: 3/7 of that third may stay.
    let config = Config { cross_zone_cost: 0.05, ..Config::example() };
    let backends = (0..7).map(|id| backend(id, if id == 0 { 0 } else { 1 + id % 2 }, 0)).collect();
    let mut host = host(config, backends);
    let local = serve(&mut host, 400, 0, |_| 10_000).iter().filter(|id| **id == 0).count();
    assert!(
        (120..=220).contains(&local),
        "{local} of 400 requests went to the only local backend, expected 120 to 220"
    );
}
