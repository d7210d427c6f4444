//! Invariants over generated sequences of events; `support::Host` checks every action.

use crate::support::{backend, class, AttemptId, Host, TrackedRequest};
use load_balancer::{
    AttemptNumber, Backend, BackendState, Class, Config, DiscoveryMode, EndpointListUpdate, Idempotency,
    IdempotencyScope, Micros, Outcome, RequestId, Tenant, TenantId, TimerToken,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

/// A step of a sequence. The first field of `End` and `Stream` selects, modulo their number, one of the
/// attempts in flight; that of `Disconnect` selects one of the pending requests.
#[derive(Clone, Debug)]
enum Step {
    /// Class, time left in µs, and tenant of a request.
    Arrive(usize, u64, Option<usize>),
    /// An attempt ends.
    End(usize, Outcome),
    /// The response to an attempt starts to be streamed.
    Stream(usize),
    Disconnect(usize),
    /// Time to pass, in µs.
    Advance(u64),
    /// Id and state of a backend, and whether its process has just started.
    Endpoint(u32, BackendState, bool),
    /// The ids in a complete endpoint list, as bits.
    List(u32, EndpointListUpdate),
    /// Unknown request, attempt and timer.
    UnknownEvents(u64, u32, u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        8 => Just(Outcome::Success),
        1 => Just(Outcome::ErrorResponse),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::TimedOut),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::ConnectionReset),
        1 => Just(Outcome::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        3 => Just(BackendState::Ready),
        1 => Just(BackendState::Draining),
        1 => Just(BackendState::Removed)
    ];
    let update = prop_oneof![
        Just(EndpointListUpdate::Snapshot),
        Just(EndpointListUpdate::Cached),
        Just(EndpointListUpdate::SubscriptionLost)
    ];
    prop_oneof![
        10 => (0..6usize, 0..2_000_000u64, proptest::option::of(0..2usize))
            .prop_map(|(class, time_left_us, tenant)| Step::Arrive(class, time_left_us, tenant)),
        8 => (0..64usize, outcome()).prop_map(|(n, outcome)| Step::End(n, outcome)),
        1 => (0..64usize).prop_map(Step::Stream),
        1 => (0..64usize).prop_map(Step::Disconnect),
        8 => (0..150_000u64).prop_map(Step::Advance),
        2 => (0..8u32, state, any::<bool>())
            .prop_map(|(id, state, restarted)| Step::Endpoint(id, state, restarted)),
        1 => (0..256u32, update).prop_map(|(mask, update)| Step::List(mask, update)),
        1 => (0..200u64, 0..9u32, any::<u64>())
            .prop_map(|(request, attempt, token)| Step::UnknownEvents(request, attempt, token)),
    ]
}

/// A configuration whose options are set by the bits of a number.
fn config_with(bits: u32) -> Config {
    let window = Micros(300_000);
    let mut config = Config::example();
    config.classes = vec![
        class(Idempotency::Idempotent),
        Class { late_weight_fraction: 0.3, priority_weight: 5.0, ..class(Idempotency::NonIdempotent) },
        class(Idempotency::Keyed { scope: IdempotencyScope::Zone, window }),
        class(Idempotency::Keyed { scope: IdempotencyScope::Cell, window }),
        class(Idempotency::Keyed { scope: IdempotencyScope::All, window }),
        Class { latency_objective: Micros(100_000), ..class(Idempotency::Idempotent) },
    ];
    config.tenants = vec![Tenant { quota_per_second: 20.0 }, Tenant { quota_per_second: 5.0 }];
    config.worst_class_goal_weight = 0.3;
    config.hedging_allowed = bits & 1 == 0;
    config.weights_report_load = bits & 2 == 0;
    config.proxy_count = if bits & 1 == 0 { 3 } else { 400 };
    config.can_cancel = bits & 4 == 0;
    config.cross_zone_cost = if bits & 16 == 0 { 0.05 } else { 0.0 };
    if bits & 8 == 0 {
        config.discovery = DiscoveryMode::Subscribe(Micros(2_000_000));
    }
    config
}

/// Runs the steps and returns the debug text of the last actions after each step.
fn run_steps(bits: u32, seed: u64, steps: &[Step]) -> Vec<String> {
    let mut host = Host::new(config_with(bits), seed);
    let mut trace = Vec::new();
    let backends_in =
        |mask: u32| (0..8).filter(|id| mask >> id & 1 == 1).map(|id| backend(id, id % 3, id % 2)).collect();
    host.update_endpoints(EndpointListUpdate::Cached, backends_in(0b0111_1011));
    for step in steps {
        match *step {
            Step::Arrive(class, time_left_us, tenant) => {
                host.arrive_for(class, time_left_us, tenant.map(TenantId));
            }
            Step::End(n, outcome) => {
                if let Some(AttemptId { request, number }) = nth(&host.in_flight(), n) {
                    host.end_attempt(request, number, outcome);
                }
            }
            Step::Stream(n) => {
                if let Some(AttemptId { request, number }) = nth(&host.in_flight(), n) {
                    host.start_stream(request, number);
                }
            }
            Step::Disconnect(n) => {
                let pending = host.requests.iter().filter(|(_, request)| request.outcome.is_none());
                let pending: Vec<RequestId> = pending.map(|(id, _)| *id).collect();
                if let Some(id) = nth(&pending, n) {
                    host.disconnect(id);
                }
            }
            Step::Advance(duration_us) => host.advance(duration_us),
            Step::Endpoint(id, state, restarted) => {
                let started_at = restarted.then_some(host.now);
                host.update_endpoints(
                    EndpointListUpdate::Delta,
                    vec![Backend { state, started_at, ..backend(id, id % 3, id % 2) }],
                );
            }
            Step::List(_, EndpointListUpdate::SubscriptionLost) => {
                host.update_endpoints(EndpointListUpdate::SubscriptionLost, Vec::new());
            }
            Step::List(mask, update) => host.update_endpoints(update, backends_in(mask)),
            Step::UnknownEvents(request, attempt, token) => {
                let request = RequestId(1_000_000 + request);
                host.handle_unknown_ids(request, AttemptNumber(attempt), TimerToken(token));
            }
        }
        trace.push(format!("{:?}", host.last_actions));
    }
    host.advance(3_000_000); // past every deadline
    let is_answered = |request: &TrackedRequest| request.outcome.is_some() || request.is_streaming;
    assert!(host.requests.values().all(is_answered), "a request has no final response");
    trace
}

/// The item at index `n` modulo the length; `None` if the list is empty.
fn nth<T: Copy>(list: &[T], n: usize) -> Option<T> {
    list.get(n % list.len().max(1)).copied()
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

/// Guards against sequences of events that make the balancer violate an invariant.
#[test]
fn invariants_hold_over_generated_events() {
    let all = (0..32u32, any::<u64>(), proptest::collection::vec(step(), 1..250));
    let run = runner(300).run(&all, |(bits, seed, steps)| {
        run_steps(bits, seed, &steps);
        Ok(())
    });
    run.unwrap();
}

/// Guards against actions that depend on anything but the configuration, seed and events.
#[test]
fn the_same_events_yield_the_same_actions() {
    let all = (0..32u32, any::<u64>(), proptest::collection::vec(step(), 1..120));
    let run = runner(40).run(&all, |(bits, seed, steps)| {
        prop_assert_eq!(run_steps(bits, seed, &steps), run_steps(bits, seed, &steps));
        Ok(())
    });
    run.unwrap();
}
