//! When load is shed, and when not.

use crate::support::{backends, host, serve, Answer, Host};
use load_balancer::{Config, Outcome, RequestId};

/// Guards against backends that stay overloaded, and load shedding that goes on after prompt answers.
#[test]
fn load_is_shed_while_answers_are_slow_and_admitted_again_when_they_are_prompt() {
    let mut host = host(Config { proxy_count: 300, ..Config::example() }, backends(60));
    let rejected = |host: &mut Host, duration_us: u64| {
        let ids: Vec<RequestId> = (0..60)
            .map(|_| {
                let id = host.arrive(0, 900_000);
                host.advance(duration_us);
                host.end(id, 0, Outcome::Success);
                id
            })
            .collect();
        ids.into_iter().filter(|id| host.answer(*id) == Some(Answer::Rejected)).count()
    };
    assert_eq!(rejected(&mut host, 100_000), 0, "prompt answers");
    assert!(rejected(&mut host, 450_000) > 20, "slow answers");
    for _ in 0..6 {
        assert!(rejected(&mut host, 100_000) < 60);
    }
    assert!(rejected(&mut host, 100_000) <= 10, "prompt answers again");
}

/// Guards against load shedding at the start, while no unloaded latency is known yet.
#[test]
fn a_quiet_start_sheds_next_to_nothing() {
    let mut host = host(Config { proxy_count: 300, ..Config::example() }, backends(60));
    let sent = serve(&mut host, 60, 0, |_| 150_000).len();
    assert!(sent >= 57, "{sent} of 60 were sent");
}

/// Guards against an unloaded latency that stays at the first quick answer, so that good ones shed load.
#[test]
fn answers_well_within_the_objective_shed_nothing_after_a_first_fast_one() {
    let mut host = host(Config { proxy_count: 100, ..Config::example() }, backends(60));
    serve(&mut host, 1, 0, |_| 20_000);
    let sent = serve(&mut host, 100, 0, |_| 240_000).len();
    assert_eq!(sent, 100, "shed while every answer takes less than half of the objective");
}

/// Guards against lateness that shows only when the answers come, long after the objective.
#[test]
fn a_slow_answer_counts_once_its_prompt_limit_is_over() {
    let mut host = host(Config { proxy_count: 300, ..Config::example() }, backends(600));
    serve(&mut host, 60, 0, |_| 30_000);
    let mut rejected = 0;
    for _ in 0..30 {
        host.advance(150_000); // nothing is answered at all
        let id = host.arrive(0, 20_000_000);
        rejected += usize::from(host.answer(id) == Some(Answer::Rejected));
    }
    assert!(rejected >= 8, "{rejected} of 30 were rejected");
}
