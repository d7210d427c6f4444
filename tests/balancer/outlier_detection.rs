//! Ejection of outliers: which backends are ejected, and for how long.

use crate::support::{backends, class, config_of, host, serve, Host, RequestOutcome};
use load_balancer::{Config, Idempotency, Outcome, RequestId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

/// The backend that [`eject_one`] ejects.
const FAILING: u32 = 3;

/// Sends requests, which fail only on [`FAILING`], until that is ejected; returns its id.
fn eject_one(host: &mut Host) -> u32 {
    serve(host, 60, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let is_failing = host.dispatched_to(id)[0] == FAILING;
        host.advance(5_000);
        host.end_attempt(id, 0, if is_failing { Outcome::ErrorResponse } else { Outcome::Success });
        let attempts = host.requests[&id].attempts.len();
        host.end_attempt(id, attempts - 1, Outcome::Success);
        if host.has_ejected_any() {
            return FAILING;
        }
    }
    panic!("the failing backend was not ejected");
}

/// Guards against a failing backend that is not ejected, or is never used again.
#[test]
fn a_failing_backend_is_used_again_after_its_ejection_time() {
    let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(6));
    let ejected = eject_one(&mut host);
    assert!(
        !serve(&mut host, 40, 0, |_| 5_000).contains(&ejected),
        "backend {ejected} was used while ejected"
    );
    host.advance(2_000_000);
    assert!(
        serve(&mut host, 60, 0, |_| 5_000).contains(&ejected),
        "backend {ejected} was not used after its ejection"
    );
}

/// Guards against a single success that ends the probation of a backend which mostly fails.
#[test]
fn a_backend_that_mostly_fails_is_ejected_for_ever_longer_times() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    // Backend 3 answers two of three requests with an error.
    let (mut sent, mut errors) = (0, 0);
    for _ in 0..3_000 {
        let id = host.arrive(0, 900_000);
        let is_failing = host.dispatched_to(id).first() == Some(&3);
        sent += u32::from(is_failing);
        let fails = is_failing && sent % 3 > 0;
        errors += u32::from(fails);
        host.advance(10_000);
        host.end_attempt(id, 0, if fails { Outcome::ErrorResponse } else { Outcome::Success });
    }
    assert!((10..=26).contains(&errors), "{errors} errors in 30 s, expected 10 to 26");
}

/// Guards against an ejection for one refused connection, and against constant reconnects to a backend that
/// refuses all.
#[test]
fn only_repeatedly_refused_connections_eject_a_backend() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let first = host.dispatched_to(id)[0];
    host.end_attempt(id, 0, Outcome::ConnectFailed);
    assert!(
        host.dispatched_to(id).len() == 2 && host.dispatched_to(id)[1] != first,
        "the retry went to the same backend, or there was none"
    );
    host.end_attempt(id, 1, Outcome::Success);
    // These requests take less time than the shortest ejection.
    assert!(
        serve(&mut host, 120, 0, |_| 5_000).contains(&first),
        "backend {first} was ejected for one refused connection"
    );
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
        assert_eq!(host.outcome_of(id), Some(RequestOutcome::Served));
    }
    assert!((4..=12).contains(&connects), "{connects} attempts to connect in 42 s, expected 4 to 12");
}

/// Guards against the use of unreachable backends when more than half of the fleet is ejected.
#[test]
fn unreachable_backends_stay_ejected_when_most_backends_are_ejected() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let (mut connects, mut used_later) = (0, BTreeSet::new());
    // Backends 0 and 1 are unreachable, 2 and 3 respond with errors, 4 and 5 serve.
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
    assert!(connects <= 20, "{connects} attempts to connect to two unreachable backends in 6 s");
    assert!(
        used_later.contains(&2) && used_later.contains(&3),
        "the reachable ejected backends are not used: {used_later:?}"
    );
    // If all backends are unreachable, they are used: the network between them and the proxy may have failed.
    for _ in 0..30 {
        host.arrive(0, 900_000);
        host.advance(10_000);
        host.end_all(|_| Outcome::ConnectFailed);
    }
    assert!(!serve(&mut host, 5, 0, |_| 5_000).is_empty(), "no backend is used when all are unreachable");
}

/// Guards against the ejection of backends that fail as often as all others.
#[test]
fn only_a_backend_that_fails_far_more_than_others_is_ejected() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(9));
    let mut random = Pcg32::seed_from_u64(11);
    // Sends requests for 500 ms and counts those of each backend. Backend 3 has this failure rate, the others
    // fail 7 % of their requests.
    let mut requests_by_backend = |host: &mut Host, failure_rate: f64| {
        let mut counts = [0; 9];
        for _ in 0..50 {
            let id = host.arrive(0, 900_000);
            let backend = host.dispatched_to(id)[0] as usize;
            counts[backend] += 1;
            host.advance(10_000);
            let failure_rate = if backend == 3 { failure_rate } else { 0.07 };
            let fails = f64::from(random.next_u32()) < failure_rate * f64::from(u32::MAX);
            host.end_attempt(id, 0, if fails { Outcome::ErrorResponse } else { Outcome::Success });
        }
        counts
    };
    let count_unused = |counts: [u32; 9]| counts.iter().filter(|count| **count == 0).count();
    let unused: usize = (0..60).map(|_| count_unused(requests_by_backend(&mut host, 0.07))).sum();
    assert!(unused <= 30, "backends were not used in {unused} of 540 intervals of 500 ms");
    let sent: u32 = (0..60).map(|_| requests_by_backend(&mut host, 0.9)[3]).sum();
    assert!(sent <= 60, "{sent} of 3000 requests went to a backend that fails 90 % of them");
}

/// Guards against an ejection for one reset connection, and against no ejection when all connections of a
/// backend are reset.
#[test]
fn a_dead_process_is_ejected_but_not_for_one_reset_connection() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let first = host.dispatched_to(id)[0];
    host.end_attempt(id, 0, Outcome::ConnectionReset);
    // These requests take less time than the shortest ejection.
    assert!(
        serve(&mut host, 120, 0, |_| 5_000).contains(&first),
        "backend {first} was ejected for one reset connection"
    );
    // Sends pairs of requests until both go to the same backend, whose connections are then reset.
    let dead = loop {
        let requests: Vec<RequestId> = host.burst(2, 0, 900_000);
        let chosen: Vec<u32> = requests.iter().map(|id| host.dispatched_to(*id)[0]).collect();
        let outcome = if chosen[0] == chosen[1] { Outcome::ConnectionReset } else { Outcome::Success };
        for id in requests {
            host.end_attempt(id, 0, outcome);
        }
        if outcome == Outcome::ConnectionReset {
            break chosen[0];
        }
    };
    assert!(
        !serve(&mut host, 40, 0, |_| 5_000).contains(&dead),
        "backend {dead} was used although all its connections were reset"
    );
}

/// Guards against ejections and load shedding when backends reject requests because their connection tables
/// are full.
#[test]
fn a_full_connection_table_causes_neither_ejection_nor_load_shedding() {
    let mut host = host(Config { proxy_count: 100, ..Config::example() }, backends(20));
    serve(&mut host, 60, 0, |_| 10_000);
    let mut rejecting = BTreeSet::new();
    for _ in 0..40 {
        // Enough requests for the retry budget to allow one retry.
        serve(&mut host, 5, 0, |_| 5_000);
        let id = host.arrive(0, 900_000);
        assert_eq!(host.dispatched_to(id).len(), 1, "the request was shed, or no backend was usable");
        rejecting.insert(host.dispatched_to(id)[0]);
        host.advance(5_000);
        host.end_attempt(id, 0, Outcome::Rejected);
        host.advance(5_000);
        host.end_attempt(id, 1, Outcome::Success);
        assert_eq!(
            host.outcome_of(id),
            Some(RequestOutcome::Served),
            "the rejected attempt was not retried successfully"
        );
    }
    assert!(!host.has_ejected_any(), "a backend was ejected: {:?}", host.logs);
    let used_later: BTreeSet<_> = serve(&mut host, 200, 0, |_| 5_000).into_iter().collect();
    assert!(
        rejecting.is_subset(&used_later),
        "a backend with a full connection table is no longer used: {used_later:?}"
    );
}

/// Guards against sending all load to the only backend that is not ejected.
#[test]
fn ejected_backends_are_used_when_most_are_ejected() {
    let mut host = host(config_of(vec![class(Idempotency::Idempotent)]), backends(4));
    serve(&mut host, 40, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let is_failing = host.dispatched_to(id).first().is_some_and(|backend| *backend != 0);
        host.advance(5_000);
        host.end_attempt(id, 0, if is_failing { Outcome::ErrorResponse } else { Outcome::Success });
        let number = host.requests[&id].attempts.len().saturating_sub(1);
        host.end_attempt(id, number, Outcome::Success);
    }
    let chosen = serve(&mut host, 80, 0, |_| 5_000);
    assert!(
        chosen.iter().any(|backend| *backend != 0),
        "all load went to the only backend that is not ejected"
    );
}

/// Guards against an overloaded backend that is not detected because its clients disconnect before the
/// deadline.
#[test]
fn an_attempt_cancelled_after_its_objective_counts_against_its_backend() {
    let mut host = host(config_of(vec![class(Idempotency::NonIdempotent)]), backends(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let slow = host.dispatched_to(id)[0];
    host.advance(450_000);
    host.disconnect(id);
    host.advance(20_000);
    assert!(
        !serve(&mut host, 30, 0, |_| 5_000).contains(&slow),
        "backend {slow}, which is slow, was still used"
    );
}
