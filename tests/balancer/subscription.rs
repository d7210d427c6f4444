//! The subscription to the endpoint list.

use crate::support::{backends, Host};
use load_balancer::{Config, DiscoveryMode, EndpointListUpdate, Event, Micros};

/// Guards against a subscription that is not renewed after a loss, or is renewed without a loss.
#[test]
fn the_balancer_subscribes_at_start_and_again_after_a_loss() {
    let config = Config { discovery: DiscoveryMode::Subscribe(Micros(10_000_000)), ..Config::example() };
    let mut host = Host::new(config, 3);
    host.update_endpoints(EndpointListUpdate::Cached, backends(2));
    assert_eq!(host.resubscriptions, 1);
    host.update_endpoints(EndpointListUpdate::Delta, backends(3));
    host.advance(8_000_000);
    assert_eq!(host.resubscriptions, 1, "an established subscription was renewed");
    host.handle(Event::EndpointListChanged {
        update: EndpointListUpdate::SubscriptionLost,
        backends: Vec::new(),
    });
    host.advance(400_000);
    assert_eq!(host.resubscriptions, 2);
    host.advance(6_000_000); // more than half of the poll interval
    assert_eq!(host.resubscriptions, 3, "an unanswered call was not made again");
}
