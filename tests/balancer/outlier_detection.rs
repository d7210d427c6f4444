//! Which backends are ejected, for how long, and which stay in use.

use crate::support::{backends, class, config_of, host, serve, Answer, Host};
use load_balancer::{Config, Idempotency, Outcome, RequestId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

/// The backend that [`eject_one`] ejects.
const FAILING: u32 = 3;

/// Serves on all but one backend until that is ejected; returns its id.
fn eject_one(host: &mut Host) -> u32 {
    serve(host, 60, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let is_failing = host.dispatched_to(id)[0] == FAILING;
        host.advance(5_000);
        host.end(id, 0, if is_failing { Outcome::ErrorResponse } else { Outcome::Success });
        let attempts = host.requests[&id].attempts.len();
        host.end(id, attempts - 1, Outcome::Success);
        if host.has_ejected_any() {
            return FAILING;
        }
    }
    panic!("never ejected");
}

/// Guards against a failing backend that is not ejected, or never used again.
#[test]
fn a_failing_backend_is_ejected_and_comes_back_after_its_ejection_time() {
    let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(6));
    let ejected = eject_one(&mut host);
    assert!(!serve(&mut host, 40, 0, |_| 5_000).contains(&ejected), "used while ejected");
    host.advance(2_000_000);
    assert!(serve(&mut host, 60, 0, |_| 5_000).contains(&ejected), "never used again");
}

/// Guards against one good answer that clears the record of a backend which mostly fails.
#[test]
fn a_backend_that_mostly_fails_is_ejected_for_longer_each_time() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let (mut sent, mut errors) = (0, 0);
    for _ in 0..3_000 {
        let id = host.arrive(0, 900_000);
        let is_failing = host.dispatched_to(id).first() == Some(&3);
        sent += u32::from(is_failing);
        let fails = is_failing && sent % 3 > 0;
        errors += u32::from(fails);
        host.advance(10_000);
        host.end(id, 0, if fails { Outcome::ErrorResponse } else { Outcome::Success });
    }
    assert!((10..=26).contains(&errors), "{errors} errors in half a minute");
}

/// Guards against the ejection of a backend whose connection table is full, and connects to it without end.
#[test]
fn one_refused_connection_ejects_no_backend_and_a_full_table_is_connected_to_less_and_less() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let first = host.dispatched_to(id)[0];
    host.end(id, 0, Outcome::ConnectFailed);
    assert!(host.dispatched_to(id).len() == 2 && host.dispatched_to(id)[1] != first, "it goes elsewhere");
    host.end(id, 1, Outcome::Success);
    // Well within the shortest ejection.
    assert!(serve(&mut host, 120, 0, |_| 5_000).contains(&first), "ejected for one refused connection");
    let mut connects = 0;
    for _ in 0..3_000 {
        let id = host.arrive(0, 900_000);
        host.advance(10_000);
        host.end_all(|backend| {
            connects += u32::from(backend == first);
            if backend == first {
                Outcome::ConnectFailed
            } else {
                Outcome::Success
            }
        });
        host.serve_all(4_000);
        assert_eq!(host.answer(id), Some(Answer::Served));
    }
    assert!((4..=12).contains(&connects), "{connects} connects in 42 s");
}

/// Guards against connects to unreachable backends as soon as half of the fleet is ejected.
#[test]
fn with_half_of_the_fleet_ejected_unreachable_backends_stay_ejected() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let (mut connects, mut used_later) = (0, BTreeSet::new());
    for step in 0..600 {
        host.arrive(0, 900_000);
        host.advance(10_000);
        host.end_all(|backend| {
            if step >= 300 {
                used_later.insert(backend);
            }
            let outcome =
                [Outcome::ConnectFailed, Outcome::ErrorResponse, Outcome::Success][backend as usize / 2];
            connects += u32::from(outcome == Outcome::ConnectFailed);
            outcome
        });
    }
    assert!(connects <= 20, "{connects} connects to two unreachable backends in 6 s");
    assert!(used_later.contains(&2) && used_later.contains(&3), "the others are used: {used_later:?}");
    // With no other left they are used: it may be the network to all of them that failed.
    for _ in 0..30 {
        host.arrive(0, 900_000);
        host.advance(10_000);
        host.end_all(|_| Outcome::ConnectFailed);
    }
    assert!(!serve(&mut host, 5, 0, |_| 5_000).is_empty(), "none is used");
}

/// Guards against the ejection of backends that fail no more often than all others.
#[test]
fn where_all_fail_alike_none_is_ejected_but_one_that_fails_far_more_is() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(9));
    let mut random = Pcg32::seed_from_u64(11);
    // Half a second of requests; the fourth backend has its own failure rate. Counts the use of each.
    let mut run = |host: &mut Host, failure_rate: f64| {
        let mut used = [0; 9];
        for _ in 0..50 {
            let id = host.arrive(0, 900_000);
            let backend = host.dispatched_to(id)[0] as usize;
            used[backend] += 1;
            host.advance(10_000);
            let failure_rate = if backend == 3 { failure_rate } else { 0.07 };
            let fails = f64::from(random.next_u32()) < failure_rate * f64::from(u32::MAX);
            host.end(id, 0, if fails { Outcome::ErrorResponse } else { Outcome::Success });
        }
        used
    };
    let count_unused = |used: [u32; 9]| used.iter().filter(|count| **count == 0).count();
    let unused: usize = (0..60).map(|_| count_unused(run(&mut host, 0.07))).sum();
    assert!(unused <= 30, "not used in {unused} of 540 half seconds");
    let sent: u32 = (0..60).map(|_| run(&mut host, 0.9)[3]).sum();
    assert!(sent <= 60, "{sent} of 3000 requests went to one that fails nine of ten");
}

/// Guards against an ejection for one reset connection, and none where all connections of a backend break.
#[test]
fn one_broken_connection_ejects_no_backend_but_a_dead_process_is_ejected() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let first = host.dispatched_to(id)[0];
    host.end(id, 0, Outcome::ConnectionReset);
    // Well within the shortest ejection.
    assert!(serve(&mut host, 120, 0, |_| 5_000).contains(&first), "ejected for one connection");
    let dead = loop {
        let requests: Vec<RequestId> = host.burst(2, 0, 900_000);
        let chosen: Vec<u32> = requests.iter().map(|id| host.dispatched_to(*id)[0]).collect();
        let outcome = if chosen[0] == chosen[1] { Outcome::ConnectionReset } else { Outcome::Success };
        for id in requests {
            host.end(id, 0, outcome);
        }
        if outcome == Outcome::ConnectionReset {
            break chosen[0];
        }
    };
    assert!(!serve(&mut host, 40, 0, |_| 5_000).contains(&dead), "all its connections broke at once");
}

/// Guards against ejections and load shedding because backends reject connections over their limit.
#[test]
fn a_full_connection_table_neither_ejects_its_backend_nor_sheds_load() {
    let mut host = host(Config { proxy_count: 100, ..Config::example() }, backends(20));
    serve(&mut host, 60, 0, |_| 10_000);
    let mut rejecting = BTreeSet::new();
    for _ in 0..40 {
        // As many as the retry budget allows.
        serve(&mut host, 5, 0, |_| 5_000);
        let id = host.arrive(0, 900_000);
        assert_eq!(host.dispatched_to(id).len(), 1, "shed, or nowhere to go");
        rejecting.insert(host.dispatched_to(id)[0]);
        host.advance(5_000);
        host.end(id, 0, Outcome::Rejected);
        host.advance(5_000);
        host.end(id, 1, Outcome::Success);
        assert_eq!(host.answer(id), Some(Answer::Served), "not sent elsewhere");
    }
    assert!(!host.has_ejected_any(), "{:?}", host.logs);
    let again: BTreeSet<_> = serve(&mut host, 200, 0, |_| 5_000).into_iter().collect();
    assert!(rejecting.is_subset(&again), "ejected for a full table");
}

/// Guards against all load on the one backend left where most fail.
#[test]
fn when_most_backends_fail_ejected_ones_are_used() {
    let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(4));
    serve(&mut host, 40, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let is_failing = host.dispatched_to(id).first().is_some_and(|backend| *backend != 0);
        host.advance(5_000);
        host.end(id, 0, if is_failing { Outcome::ErrorResponse } else { Outcome::Success });
        let number = host.requests[&id].attempts.len().saturating_sub(1);
        host.end(id, number, Outcome::Success);
    }
    let chosen = serve(&mut host, 80, 0, |_| 5_000);
    assert!(chosen.iter().any(|backend| *backend != 0), "all load went to the one backend left");
}

/// Guards against an overloaded backend whose clients disconnect before their deadline, so that none fails.
#[test]
fn an_attempt_cancelled_after_its_objective_counts_against_the_backend() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let slow = host.dispatched_to(id)[0];
    host.advance(450_000);
    host.disconnect(id);
    host.advance(20_000);
    assert!(!serve(&mut host, 30, 0, |_| 5_000).contains(&slow), "it still gets its share");
}
