//! Conversion of start times from the clock of the endpoint list, which may differ from the proxy's.

use load_balancer::discovery::start_times::StartTimes;
use load_balancer::discovery::Endpoint;
use load_balancer::{Backend, BackendId, BackendState, Time};

const SECOND: u64 = 1_000_000;
/// Start of the proxy on its own clock.
const PROXY_START: u64 = 10_000 * SECOND;

/// An endpoint that started at second `started` of the list's clock; 0 means long ago.
fn endpoint(id: u64, started: u64) -> Endpoint {
    let started_at = Some(Time(started * SECOND)).filter(|time| time.0 > 0);
    let backend = Backend { id: BackendId(id), state: BackendState::Ready, started_at, ..Backend::default() };
    Endpoint { backend, address: ([127, 0, 0, 1], 1).into() }
}

/// Ages in seconds of the backends of a list that arrives `at` seconds after the start of the proxy.
fn ages(
    start_times: &mut StartTimes, at: u64, is_snapshot: bool, mut endpoints: Vec<Endpoint>,
) -> Vec<Option<u64>> {
    let now = Time(PROXY_START + at * SECOND);
    start_times.convert_to_local(now, is_snapshot, &mut endpoints);
    let age =
        |endpoint: &Endpoint| endpoint.backend.started_at.map(|started_at| (now - started_at).0 / SECOND);
    endpoints.iter().map(age).collect()
}

/// Second of the list's clock at the start of the proxy: equal to the proxy's clock, far behind, far ahead.
const LIST_CLOCKS_AT_START: [u64; 3] = [PROXY_START / SECOND, 5_000, 50_000];

/// Guards against a new backend that skips slow start because its start time is on another clock.
#[test]
fn a_new_backend_started_no_earlier_than_the_last_list_without_it() {
    for clock_at_start in LIST_CLOCKS_AT_START {
        for is_snapshot in [true, false] {
            let mut start_times = StartTimes::default();
            assert_eq!(ages(&mut start_times, 0, true, vec![endpoint(1, 0)]), [None]);
            assert_eq!(ages(&mut start_times, 10, false, vec![]), []);
            // The listed start time of backend 2 is long before the last list without it. The age is bounded
            // by that list, which arrived 2 s ago.
            let endpoints = |started: u64| match is_snapshot {
                true => vec![endpoint(1, 0), endpoint(2, started)],
                false => vec![endpoint(2, started)],
            };
            let age =
                ages(&mut start_times, 12, is_snapshot, endpoints(clock_at_start - 100)).pop().flatten();
            assert!(age <= Some(2), "age {age:?} of a new backend, list clock {clock_at_start}");
            // The backend restarts.
            assert_eq!(ages(&mut start_times, 14, false, vec![]), []);
            let age = ages(&mut start_times, 15, is_snapshot, endpoints(clock_at_start + 14)).pop().flatten();
            assert!(age <= Some(1), "age {age:?} of a restarted backend, list clock {clock_at_start}");
        }
    }
}

/// Guards against ages in the first list that depend on a wall clock that may be wrong.
#[test]
fn the_first_list_gives_ages_relative_to_its_newest_backend() {
    for clock_at_start in LIST_CLOCKS_AT_START {
        let mut start_times = StartTimes::default();
        let endpoints = vec![
            endpoint(1, clock_at_start - 100),
            endpoint(2, clock_at_start - 40),
            endpoint(3, clock_at_start - 30),
            endpoint(4, 0),
        ];
        assert_eq!(ages(&mut start_times, 0, true, endpoints), [Some(70), Some(10), Some(0), None]);
        // Converted start times are kept when a later list repeats them; new ones are converted alongside.
        let endpoints = vec![
            endpoint(3, clock_at_start - 30),
            endpoint(2, clock_at_start - 40),
            endpoint(5, clock_at_start + 4),
        ];
        assert_eq!(ages(&mut start_times, 5, true, endpoints), [Some(5), Some(15), Some(0)]);
    }
}

/// Guards against start times that are converted by the delay of a slow update, although a faster one arrived
/// before.
#[test]
fn start_times_are_converted_by_the_fastest_update() {
    for clock_at_start in LIST_CLOCKS_AT_START {
        let mut start_times = StartTimes::default();
        ages(&mut start_times, 0, true, vec![endpoint(1, 0)]);
        assert_eq!(ages(&mut start_times, 21, false, vec![endpoint(2, clock_at_start + 20)]), [Some(0)]);
        assert_eq!(ages(&mut start_times, 33, false, vec![endpoint(3, clock_at_start + 30)]), [Some(2)]);
    }
}

/// Guards against start times of removed backends that are kept and applied to their successors.
#[test]
fn the_start_time_of_a_removed_backend_is_discarded() {
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
