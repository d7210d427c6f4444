//! Where starts are placed that the list tells in a wall clock's time, by a process whose clock has nothing to do with
//! that one.

use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::Target;
use load_balancer::{Backend, BackendId, BackendState, Time};

const SECOND: u64 = 1_000_000;
/// When the process starts, by its own clock.
const START: u64 = 10_000 * SECOND;

/// A line about a backend that started at that second of the list's clock; 0 is long ago.
fn line(id: u64, started: u64) -> Target {
    let started_at = Some(Time(started * SECOND)).filter(|t| t.0 > 0);
    let backend = Backend { id: BackendId(id), state: BackendState::Ready, started_at, ..Backend::default() };
    Target { backend, address: ([127, 0, 0, 1], 1).into() }
}

/// The ages, in seconds, that the backends of a list have so many seconds after the start.
fn ages(starts: &mut StartTimes, at: u64, whole: bool, mut lines: Vec<Target>) -> Vec<Option<u64>> {
    let now = Time(START + at * SECOND);
    starts.place(now, whole, &mut lines);
    lines.iter().map(|l| l.backend.started_at.map(|b| (now - b).0 / SECOND)).collect()
}

/// The list's clock as the process starts: like its own, much before it, much after.
const CLOCKS: [u64; 3] = [START / SECOND, 5_000, 50_000];

#[test]
fn news_started_no_longer_ago_than_the_list_without_it() {
    for clock in CLOCKS {
        for whole in [true, false] {
            let mut starts = StartTimes::default();
            assert_eq!(ages(&mut starts, 0, true, vec![line(1, 0)]), [None]);
            assert_eq!(ages(&mut starts, 10, false, vec![]), []);
            // Told as started long before the list that lacks it, whatever it means: no longer ago than that.
            let lines = |new: u64| if whole { vec![line(1, 0), line(2, new)] } else { vec![line(2, new)] };
            let age = ages(&mut starts, 12, whole, lines(clock - 100)).pop().flatten();
            assert!(age <= Some(2), "{clock}: {age:?}");
            // Its process starts again.
            assert_eq!(ages(&mut starts, 14, false, vec![]), []);
            let age = ages(&mut starts, 15, whole, lines(clock + 14)).pop().flatten();
            assert!(age <= Some(1), "{clock}: {age:?}");
        }
    }
}

#[test]
fn a_first_list_tells_only_how_much_longer_ago_the_others_started_than_the_last() {
    for clock in CLOCKS {
        let mut starts = StartTimes::default();
        let lines = vec![line(1, clock - 100), line(2, clock - 40), line(3, clock - 30), line(4, 0)];
        assert_eq!(ages(&mut starts, 0, true, lines), [Some(70), Some(10), Some(0), None]);
        // What is placed stays so, by whatever list it is named again; what is news is set beside it.
        let lines = vec![line(3, clock - 30), line(2, clock - 40), line(5, clock + 4)];
        assert_eq!(ages(&mut starts, 5, true, lines), [Some(5), Some(15), Some(0)]);
    }
}

/// Where the clocks go alike, a start is placed late by no more than the news of it took, at the least.
#[test]
fn starts_are_placed_by_the_quickest_news() {
    for clock in CLOCKS {
        let mut starts = StartTimes::default();
        ages(&mut starts, 0, true, vec![line(1, 0)]);
        assert_eq!(ages(&mut starts, 21, false, vec![line(2, clock + 20)]), [Some(0)]);
        assert_eq!(ages(&mut starts, 33, false, vec![line(3, clock + 30)]), [Some(2)]);
    }
}

#[test]
fn a_backend_that_is_gone_is_forgotten() {
    let mut starts = StartTimes::default();
    ages(&mut starts, 0, true, vec![line(1, 0), line(2, 900)]);
    let gone = |mut line: Target| {
        line.backend.state = BackendState::Removed;
        line
    };
    ages(&mut starts, 50, false, vec![gone(line(2, 900))]);
    assert_eq!(ages(&mut starts, 60, false, vec![line(2, 900)]), [Some(10)]);
    ages(&mut starts, 70, true, vec![line(1, 0)]);
    assert_eq!(ages(&mut starts, 75, false, vec![line(2, 900)]), [Some(5)]);
}
