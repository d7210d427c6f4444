//! Which backends are ejected, for how long, and which stay in use.

use crate::support::{class, config, fleet, host, serve, Host};
use load_balancer::{Config, Event, Idempotency, Outcome, RequestId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeSet;

/// Serves on all but the erring backend until that is ejected; gives its number.
fn eject_one(host: &mut Host) -> u32 {
    serve(host, 60, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let bad = host.sent_to(id)[0] == 3;
        host.advance(5_000);
        host.end(id, 0, if bad { Outcome::ErrorResponse } else { Outcome::Success });
        let again = host.requests[&id].tries.len();
        host.end(id, again - 1, Outcome::Success);
        if host.has_ejected_any() {
            return 3;
        }
    }
    panic!("never ejected");
}

#[test]
fn an_erring_backend_is_ejected_and_comes_back_after_its_term() {
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(6));
    let bad = eject_one(&mut host);
    assert!(!serve(&mut host, 40, 0, |_| 5_000).contains(&bad), "used during its term");
    host.advance(2_000_000);
    assert!(serve(&mut host, 60, 0, |_| 5_000).contains(&bad), "it never came back");
}

#[test]
fn a_backend_that_mostly_errs_is_tried_less_and_less() {
    // Fleet days: one good answer cleared a bad backend's record, and each of its dozen proxies took it back
    // after a second, all day long, at the price of two requests that may not be sent again.
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let (mut sent, mut errors) = (0, 0);
    for _ in 0..3_000 {
        let id = host.arrive(0, 900_000);
        let bad = host.sent_to(id).first() == Some(&3);
        sent += u32::from(bad);
        let errs = bad && sent % 3 > 0;
        errors += u32::from(errs);
        host.advance(10_000);
        host.end(id, 0, if errs { Outcome::ErrorResponse } else { Outcome::Success });
    }
    assert!((10..=26).contains(&errors), "{errors} errors in half a minute");
}

#[test]
fn one_refused_dial_shuts_no_backend_out_and_a_full_table_is_dialled_less_and_less() {
    // A full table refuses dials though its backend serves all those that it has taken.
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let met = host.sent_to(id)[0];
    host.end(id, 0, Outcome::ConnectFailed);
    assert!(host.sent_to(id).len() == 2 && host.sent_to(id)[1] != met, "it goes elsewhere");
    host.end(id, 1, Outcome::Success);
    // Well within the shortest term of an ejection.
    assert!(serve(&mut host, 120, 0, |_| 5_000).contains(&met), "shut out for one refused dial");
    let mut dials = 0;
    for _ in 0..3_000 {
        let id = host.arrive(0, 900_000);
        host.advance(10_000);
        host.end_all(|to| {
            dials += u32::from(to == met);
            if to == met {
                Outcome::ConnectFailed
            } else {
                Outcome::Success
            }
        });
        host.serve_all(4_000);
        assert_eq!(host.requests[&id].answer, Some("served"));
    }
    assert!((4..=12).contains(&dials), "{dials} dials in 42 s");
}

#[test]
fn with_half_of_the_fleet_ejected_those_that_cannot_be_reached_stay_out() {
    // A day of garbled answers: with three backends of nine dead and two ejected for errors, all were used
    // again, and one proxy dialled the dead ones a hundred times a second.
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let (mut dials, mut late) = (0, BTreeSet::new());
    for i in 0..600 {
        host.arrive(0, 900_000);
        host.advance(10_000);
        host.end_all(|to| {
            if i >= 300 {
                late.insert(to);
            }
            let outcome = [Outcome::ConnectFailed, Outcome::ErrorResponse, Outcome::Success][to as usize / 2];
            dials += u32::from(outcome == Outcome::ConnectFailed);
            outcome
        });
    }
    assert!(dials <= 20, "{dials} dials to two dead backends in 6 s");
    assert!(late.contains(&2) && late.contains(&3), "the others are used: {late:?}");
    // With nobody else left they are tried: it may be the way to all of them that was cut.
    for _ in 0..30 {
        host.arrive(0, 900_000);
        host.advance(10_000);
        host.end_all(|_| Outcome::ConnectFailed);
    }
    assert!(!serve(&mut host, 5, 0, |_| 5_000).is_empty(), "none is tried");
}

#[test]
fn where_all_err_alike_none_is_shut_out_but_one_that_errs_far_more_is() {
    // A day of garbled answers: all nine backends came back unreadable at every fourteenth, and by turns two
    // errors close together had each of them out for seconds, until more than half were.
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(9));
    let mut dice = Pcg32::seed_from_u64(11);
    // Half a second of requests; the fourth backend errs at another part of them. Gives how often each was used.
    let mut play = |host: &mut Host, part: f64| {
        let mut used = [0; 9];
        for _ in 0..50 {
            let id = host.arrive(0, 900_000);
            let to = host.sent_to(id)[0] as usize;
            used[to] += 1;
            host.advance(10_000);
            let part = if to == 3 { part } else { 0.07 };
            let errs = f64::from(dice.next_u32()) < part * f64::from(u32::MAX);
            host.end(id, 0, if errs { Outcome::ErrorResponse } else { Outcome::Success });
        }
        used
    };
    let unused = |used: [u32; 9]| used.iter().filter(|n| **n == 0).count();
    let out: usize = (0..60).map(|_| unused(play(&mut host, 0.07))).sum();
    assert!(out <= 30, "out of use in {out} of 540 half seconds");
    let bad: u32 = (0..60).map(|_| play(&mut host, 0.9)[3]).sum();
    assert!(bad <= 60, "{bad} of 3000 requests went to one that errs at nine of ten");
}

#[test]
fn one_broken_connection_shuts_no_backend_out_but_a_dead_process_is() {
    // A day of steady single resets kept a sixth of a fleet of ten out that served all others well.
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(4));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let met = host.sent_to(id)[0];
    host.end(id, 0, Outcome::ConnectionReset);
    // Well within the shortest term of an ejection.
    assert!(serve(&mut host, 120, 0, |_| 5_000).contains(&met), "shut out for one connection");
    let dead = loop {
        let out: Vec<RequestId> = host.burst(2, 0, 900_000);
        let to: Vec<u32> = out.iter().map(|id| host.sent_to(*id)[0]).collect();
        let outcome = if to[0] == to[1] { Outcome::ConnectionReset } else { Outcome::Success };
        out.iter().for_each(|id| host.end(*id, 0, outcome));
        if outcome == Outcome::ConnectionReset {
            break to[0];
        }
    };
    assert!(!serve(&mut host, 40, 0, |_| 5_000).contains(&dead), "all its connections broke at once");
}

#[test]
fn a_full_connection_table_neither_ejects_its_backend_nor_sheds_load() {
    // First fleet day: the idle connections of a hundred proxies filled every backend's table, each answer
    // that turned a new one away shut its backend out for a second, and nine requests in ten were shed.
    let mut host = host(Config { proxy_count: 100, ..Config::example() }, fleet(20));
    serve(&mut host, 60, 0, |_| 10_000);
    let mut met = BTreeSet::new();
    for _ in 0..40 {
        // As many as the retry budget stands.
        serve(&mut host, 5, 0, |_| 5_000);
        let id = host.arrive(0, 900_000);
        assert_eq!(host.sent_to(id).len(), 1, "shed, or nowhere to go");
        met.insert(host.sent_to(id)[0]);
        host.advance(5_000);
        host.end(id, 0, Outcome::Rejected);
        host.advance(5_000);
        host.end(id, 1, Outcome::Success);
        assert_eq!(host.requests[&id].answer, Some("served"), "not sent elsewhere");
    }
    assert!(!host.has_ejected_any(), "{:?}", host.logs);
    let again: BTreeSet<_> = serve(&mut host, 200, 0, |_| 5_000).into_iter().collect();
    assert!(met.is_subset(&again), "shut out for a full table");
}

#[test]
fn when_most_backends_err_they_are_used_after_all() {
    let mut host = host(config(vec![class(Idempotency::Idempotent)]), fleet(4));
    serve(&mut host, 40, 0, |_| 10_000);
    for _ in 0..200 {
        let id = host.arrive(0, 900_000);
        let bad = host.sent_to(id).first().is_some_and(|b| *b != 0);
        host.advance(5_000);
        host.end(id, 0, if bad { Outcome::ErrorResponse } else { Outcome::Success });
        let no = host.requests[&id].tries.len().saturating_sub(1);
        host.end(id, no, Outcome::Success);
    }
    let chosen = serve(&mut host, 80, 0, |_| 5_000);
    assert!(chosen.iter().any(|b| *b != 0), "all load went to the one backend left");
}

#[test]
fn an_attempt_called_off_after_its_aim_counts_against_the_backend() {
    // Accra rough-2: clients left before their deadline, so choked backends showed only cancels.
    let mut host = host(config(vec![class(Idempotency::NonIdempotent)]), fleet(6));
    serve(&mut host, 60, 0, |_| 10_000);
    let id = host.arrive(0, 900_000);
    let ill = host.sent_to(id)[0];
    host.advance(450_000);
    host.requests.get_mut(&id).unwrap().answer = Some("left");
    host.event(Event::ClientDisconnected { request: id });
    host.advance(20_000);
    assert!(!serve(&mut host, 30, 0, |_| 5_000).contains(&ill), "it still gets its slice");
}
