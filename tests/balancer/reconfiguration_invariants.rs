//! Invariants of the balancer over generated sequences of events and configurations.

use crate::support::{backend, class, AttemptId, Host};
use load_balancer::{
    Backend, BackendState, Class, ClassId, Config, DiscoveryMode, EndpointListUpdate, Idempotency,
    IdempotencyScope, Micros, Outcome, TenantId,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

/// A step of a sequence. The first field of `End` selects, modulo their number, one of the attempts in
/// flight; that of `Disconnect` selects one of the pending requests.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives: class index, time left in µs.
    Arrive(usize, u64),
    /// An attempt ends.
    End(usize, Outcome),
    Disconnect(usize),
    /// Time passes, in µs.
    Advance(u64),
    Endpoint(u32, BackendState),
    /// A new configuration: options as bits, and the classes by name. A name is a number that identifies a
    /// class across configurations.
    Reconfigure(u32, Vec<usize>),
    /// A reconfiguration with invalid indices of previous classes.
    ReconfigureMalformed(Vec<usize>),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        6 => Just(Outcome::Success),
        1 => Just(Outcome::ErrorResponse),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::ConnectFailed),
        2 => Just(Outcome::ConnectionReset),
        1 => Just(Outcome::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![3 => Just(BackendState::Ready), 1 => Just(BackendState::Draining)];
    let class_names = || proptest::collection::vec(0..6usize, 1..7);
    prop_oneof![
        10 => (0..6usize, 0..2_000_000u64)
            .prop_map(|(class, time_left_us)| Step::Arrive(class, time_left_us)),
        8 => (0..64usize, outcome()).prop_map(|(n, outcome)| Step::End(n, outcome)),
        1 => (0..64usize).prop_map(Step::Disconnect),
        8 => (0..150_000u64).prop_map(Step::Advance),
        2 => (0..8u32, state).prop_map(|(id, state)| Step::Endpoint(id, state)),
        3 => (0..64u32, class_names()).prop_map(|(bits, classes)| Step::Reconfigure(bits, classes)),
        1 => class_names().prop_map(Step::ReconfigureMalformed),
    ]
}

/// The class of a name; its idempotency changes with the options.
fn class_named(name: usize, bits: u32) -> Class {
    let window = Micros(300_000);
    let idempotencies = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed { scope: IdempotencyScope::Zone, window },
        Idempotency::Keyed { scope: IdempotencyScope::Cell, window: Micros(100_000) },
        Idempotency::Keyed { scope: IdempotencyScope::All, window },
        Idempotency::Idempotent,
    ];
    let idempotency = idempotencies[(name + bits as usize) % idempotencies.len()];
    let latency_objective = Micros(if bits & 1 == 0 { 400_000 } else { 100_000 });
    Class {
        latency_objective,
        late_weight_fraction: if bits & 4 == 0 { 0.3 } else { 0.0 },
        ..class(idempotency)
    }
}

/// A configuration with these classes and the options of `bits`.
fn config_with(bits: u32, names: &[usize]) -> Config {
    let mut config = Config::example();
    config.classes = names.iter().map(|name| class_named(*name, bits)).collect();
    config.worst_class_goal_weight = 0.3;
    config.hedging_allowed = bits & 1 == 0;
    config.can_cancel = bits & 2 == 0;
    config.max_attempts = 1 + bits % 4;
    config.proxy_count = if bits & 8 == 0 { 3 } else { 400 };
    config.proxy_index = bits % 3;
    config.cross_zone_cost = if bits & 16 == 0 { 0.05 } else { 0.0 };
    if bits & 32 == 0 {
        config.discovery = DiscoveryMode::Subscribe(Micros(2_000_000));
    }
    config
}

fn run_steps(seed: u64, steps: &[Step]) {
    let mut names: Vec<usize> = (0..6).collect();
    let mut host = Host::new(config_with(0, &names), seed);
    host.update_endpoints(EndpointListUpdate::Cached, (0..7).map(|id| backend(id, id % 3, id % 2)).collect());
    for step in steps {
        match step {
            Step::Arrive(class, time_left_us) => drop(host.arrive(class % names.len(), *time_left_us)),
            Step::End(n, outcome) => {
                let in_flight = host.in_flight();
                if let Some(AttemptId { request, number }) =
                    in_flight.get(n % in_flight.len().max(1)).copied()
                {
                    host.end_attempt(request, number, *outcome);
                }
            }
            Step::Disconnect(n) => {
                let pending = host.requests.iter().filter(|(_, request)| request.outcome.is_none());
                let pending = pending.map(|(id, _)| *id);
                if let Some(id) = pending.cycle().nth(*n).filter(|id| host.outcome_of(*id).is_none()) {
                    host.disconnect(id);
                }
            }
            Step::Advance(duration_us) => host.advance(*duration_us),
            Step::Endpoint(id, state) => {
                let entry = Backend { state: *state, ..backend(*id, id % 3, id % 2) };
                host.update_endpoints(EndpointListUpdate::Delta, vec![entry]);
            }
            Step::Reconfigure(bits, chosen) => {
                let mut new = chosen.clone();
                // Without duplicates, in an order that depends on the options.
                new.sort_unstable_by_key(|name| (name * 7 + *bits as usize) % 6);
                new.dedup();
                let previous = |name: &usize| names.iter().position(|old| old == name).map(ClassId);
                let previous_classes = new.iter().map(previous).collect();
                host.reconfigure_from(config_with(*bits, &new), previous_classes, Vec::new());
                names = new;
            }
            Step::ReconfigureMalformed(indices) => {
                // Indices that are duplicate, unknown or too few.
                let previous_classes = indices.iter().map(|index| Some(ClassId(index * 3))).collect();
                host.reconfigure_from(host.config.clone(), previous_classes, vec![Some(TenantId(9))]);
            }
        }
    }
    host.advance(3_000_000); // past every deadline
    assert!(
        host.requests.values().all(|request| request.outcome.is_some()),
        "a request has no final response"
    );
}

/// Guards against a sequence of events and reconfigurations that violates an invariant of the balancer.
#[test]
fn invariants_hold_across_reconfigurations() {
    let config = ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let all = (any::<u64>(), proptest::collection::vec(step(), 1..250));
    let run = runner.run(&all, |(seed, steps)| {
        run_steps(seed, &steps);
        Ok(())
    });
    run.unwrap();
}
