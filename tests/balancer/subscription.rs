//! When the endpoint list is asked for.

use crate::support::{fleet, Host};
use load_balancer::{Config, DiscoveryMode, EndpointListUpdate, Event, Micros};

#[test]
fn discovery_is_followed_at_once_and_again_after_a_loss() {
    let cfg = Config { discovery: DiscoveryMode::Subscribe(Micros(10_000_000)), ..Config::example() };
    let mut host = Host::new(cfg, 3);
    host.members(EndpointListUpdate::Cached, fleet(2));
    assert_eq!(host.follows, 1);
    host.members(EndpointListUpdate::Delta, fleet(3));
    host.advance(8_000_000);
    assert_eq!(host.follows, 1, "a living subscription is not asked for again");
    host.event(Event::EndpointListChanged {
        update: EndpointListUpdate::SubscriptionLost,
        backends: Vec::new(),
    });
    host.advance(400_000);
    assert_eq!(host.follows, 2);
    host.advance(6_000_000);
    assert_eq!(host.follows, 3, "an unanswered call is repeated");
}
