//! The rules as invariants over generated sequences of events and configurations.

use crate::support::{backend, class, Host};
use load_balancer::{
    Backend, BackendState, Class, ClassId, Config, DiscoveryMode, EndpointListUpdate, Event, Idempotency,
    IdempotencyScope, Micros, Outcome, TenantId,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Step {
    Arrive(usize, u64),
    End(usize, Outcome),
    Gone(usize),
    Pass(u64),
    Member(u32, BackendState),
    Configure(u32, Vec<usize>),
    Malformed(Vec<usize>),
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
    let some = || proptest::collection::vec(0..6usize, 1..7);
    prop_oneof![
        10 => (0..6usize, 0..2_000_000u64).prop_map(|(c, l)| Step::Arrive(c, l)),
        8 => (0..64usize, outcome()).prop_map(|(n, o)| Step::End(n, o)),
        1 => (0..64usize).prop_map(Step::Gone),
        8 => (0..150_000u64).prop_map(Step::Pass),
        2 => (0..8u32, state).prop_map(|(b, s)| Step::Member(b, s)),
        3 => (0..64u32, some()).prop_map(|(bits, classes)| Step::Configure(bits, classes)),
        1 => some().prop_map(Step::Malformed),
    ]
}

/// The classes by name: each name means another effect with another sort of settings.
fn named(name: usize, bits: u32) -> Class {
    let window = Micros(300_000);
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed { scope: IdempotencyScope::Zone, window },
        Idempotency::Keyed { scope: IdempotencyScope::Cell, window: Micros(100_000) },
        Idempotency::Keyed { scope: IdempotencyScope::All, window },
        Idempotency::Idempotent,
    ];
    let effect = effects[(name + bits as usize) % effects.len()];
    let aim = Micros(if bits & 1 == 0 { 400_000 } else { 100_000 });
    Class {
        latency_objective: aim,
        late_weight_fraction: if bits & 4 == 0 { 0.3 } else { 0.0 },
        ..class(effect)
    }
}

fn settings(bits: u32, names: &[usize]) -> Config {
    let mut cfg = Config::example();
    cfg.classes = names.iter().map(|n| named(*n, bits)).collect();
    cfg.worst_class_goal_weight = 0.3;
    cfg.hedging_allowed = bits & 1 == 0;
    cfg.can_cancel = bits & 2 == 0;
    cfg.max_attempts = 1 + bits % 4;
    cfg.proxy_count = if bits & 8 == 0 { 3 } else { 400 };
    cfg.proxy_index = bits % 3;
    cfg.cross_zone_cost = if bits & 16 == 0 { 0.05 } else { 0.0 };
    if bits & 32 == 0 {
        cfg.discovery = DiscoveryMode::Subscribe(Micros(2_000_000));
    }
    cfg
}

fn play(seed: u64, steps: &[Step]) {
    let mut names: Vec<usize> = (0..6).collect();
    let mut host = Host::new(settings(0, &names), seed);
    host.members(EndpointListUpdate::Cached, (0..7).map(|i| backend(i, i % 3, i % 2)).collect());
    for step in steps {
        match step {
            Step::Arrive(class, left) => drop(host.arrive(class % names.len(), *left)),
            Step::End(n, outcome) => {
                let out = host.out();
                if let Some((id, no)) = out.get(n % out.len().max(1)).copied() {
                    host.end(id, no, *outcome);
                }
            }
            Step::Gone(n) => {
                let open = host.requests.iter().filter(|(_, r)| r.answer.is_none()).map(|(id, _)| *id);
                if let Some(id) = open.cycle().nth(*n).filter(|id| host.requests[id].answer.is_none()) {
                    host.requests.get_mut(&id).expect("known").answer = Some("left");
                    host.event(Event::ClientDisconnected { request: id });
                }
            }
            Step::Pass(span) => host.advance(*span),
            Step::Member(b, state) => {
                let entry = Backend { state: *state, ..backend(*b, b % 3, b % 2) };
                host.members(EndpointListUpdate::Delta, vec![entry]);
            }
            Step::Configure(bits, chosen) => {
                let mut new = chosen.clone();
                new.sort_unstable_by_key(|n| (n * 7 + *bits as usize) % 6);
                new.dedup();
                let was = |n: &usize| names.iter().position(|old| old == n).map(ClassId);
                let previous_classes = new.iter().map(was).collect();
                host.configure(settings(*bits, &new), previous_classes, Vec::new());
                names = new;
            }
            Step::Malformed(was) => {
                // Numbers that stand twice, that were never given, too few of them: forgotten, at the worst.
                let was = was.iter().map(|n| Some(ClassId(n * 3))).collect();
                host.configure(host.cfg.clone(), was, vec![Some(TenantId(9))]);
            }
        }
    }
    host.advance(3_000_000);
    assert!(host.requests.values().all(|r| r.answer.is_some()), "a request was left without an answer");
}

#[test]
fn the_rules_hold_while_configurations_come_and_go() {
    let config = ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let all = (any::<u64>(), proptest::collection::vec(step(), 1..250));
    let run = runner.run(&all, |(seed, steps)| {
        play(seed, &steps);
        Ok(())
    });
    run.unwrap();
}
