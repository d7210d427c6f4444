//! Start times of backends, which the list has by a wall clock that may differ from the proxy's.

use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::Endpoint;
use load_balancer::{Backend, BackendId, BackendState, Time};

const SECOND: u64 = 1_000_000;
/// When the proxy starts, by its own clock.
const PROXY_START: u64 = 10_000 * SECOND;

/// An endpoint that started at that second of the list's clock; 0 is long ago.
fn endpoint(id: u64, started: u64) -> Endpoint {
    let started_at = Some(Time(started * SECOND)).filter(|time| time.0 > 0);
    let backend = Backend { id: BackendId(id), state: BackendState::Ready, started_at, ..Backend::default() };
    Endpoint { backend, address: ([127, 0, 0, 1], 1).into() }
}

/// The ages, in seconds, that the backends of a list have so many seconds after the start of the proxy.
fn ages(
    start_times: &mut StartTimes, at: u64, is_snapshot: bool, mut endpoints: Vec<Endpoint>,
) -> Vec<Option<u64>> {
    let now = Time(PROXY_START + at * SECOND);
    start_times.place(now, is_snapshot, &mut endpoints);
    let age =
        |endpoint: &Endpoint| endpoint.backend.started_at.map(|started_at| (now - started_at).0 / SECOND);
    endpoints.iter().map(age).collect()
}

/// The list's clock as the proxy starts: like its own, much earlier, much later.
const CLOCKS: [u64; 3] = [PROXY_START / SECOND, 5_000, 50_000];

/// Guards against a new backend that passes for warm because its start time is by another clock.
#[test]
fn a_new_backend_started_no_longer_ago_than_the_list_without_it() {
    for clock in CLOCKS {
        for is_snapshot in [true, false] {
            let mut start_times = StartTimes::default();
            assert_eq!(ages(&mut start_times, 0, true, vec![endpoint(1, 0)]), [None]);
            assert_eq!(ages(&mut start_times, 10, false, vec![]), []);
            // By its clock it started long before the list that lacks it: no longer ago than that.
            let endpoints = |started: u64| match is_snapshot {
                true => vec![endpoint(1, 0), endpoint(2, started)],
                false => vec![endpoint(2, started)],
            };
            let age = ages(&mut start_times, 12, is_snapshot, endpoints(clock - 100)).pop().flatten();
            assert!(age <= Some(2), "{clock}: {age:?}");
            // Its process starts again.
            assert_eq!(ages(&mut start_times, 14, false, vec![]), []);
            let age = ages(&mut start_times, 15, is_snapshot, endpoints(clock + 14)).pop().flatten();
            assert!(age <= Some(1), "{clock}: {age:?}");
        }
    }
}

/// Guards against ages of a first list that rest on a wall clock which may be wrong.
#[test]
fn a_first_list_bounds_only_how_much_longer_ago_the_others_started_than_the_last() {
    for clock in CLOCKS {
        let mut start_times = StartTimes::default();
        let endpoints =
            vec![endpoint(1, clock - 100), endpoint(2, clock - 40), endpoint(3, clock - 30), endpoint(4, 0)];
        assert_eq!(ages(&mut start_times, 0, true, endpoints), [Some(70), Some(10), Some(0), None]);
        // A start time once placed stays, whatever list names it again; new ones are placed beside it.
        let endpoints = vec![endpoint(3, clock - 30), endpoint(2, clock - 40), endpoint(5, clock + 4)];
        assert_eq!(ages(&mut start_times, 5, true, endpoints), [Some(5), Some(15), Some(0)]);
    }
}

/// Guards against start times that are placed later than the quickest update shows.
#[test]
fn starts_are_placed_by_the_fastest_update() {
    for clock in CLOCKS {
        let mut start_times = StartTimes::default();
        ages(&mut start_times, 0, true, vec![endpoint(1, 0)]);
        assert_eq!(ages(&mut start_times, 21, false, vec![endpoint(2, clock + 20)]), [Some(0)]);
        assert_eq!(ages(&mut start_times, 33, false, vec![endpoint(3, clock + 30)]), [Some(2)]);
    }
}

/// Guards against start times of removed backends that stay, in memory and for their successors.
#[test]
fn a_removed_backend_is_forgotten() {
    let mut start_times = StartTimes::default();
    ages(&mut start_times, 0, true, vec![endpoint(1, 0), endpoint(2, 900)]);
    let removed = |mut endpoint: Endpoint| {
        endpoint.backend.state = BackendState::Removed;
        endpoint
    };
    ages(&mut start_times, 50, false, vec![removed(endpoint(2, 900))]);
    assert_eq!(ages(&mut start_times, 60, false, vec![endpoint(2, 900)]), [Some(10)]);
    ages(&mut start_times, 70, true, vec![endpoint(1, 0)]);
    assert_eq!(ages(&mut start_times, 75, false, vec![endpoint(2, 900)]), [Some(5)]);
}
