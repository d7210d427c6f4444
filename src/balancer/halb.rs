//! HALB, the traffic share of each kind of backend: which split over kinds of different speed gives the least
//! mean response time? The closed optimum of an M/G/1 processor-sharing model, with negative shares clamped
//! to zero.

/// One kind of backend as the formula sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindCapacity {
    /// How many backends can be used; a part of one where it is not fully ready.
    pub backends: f64,
    /// Requests a second that one of them can serve.
    pub speed: f64,
}

/// Below this part of the fleet's speed the arrival rate counts as zero.
const NEGLIGIBLE_LOAD_FRACTION: f64 = 1e-6;

/// The part of the traffic for each kind of n backends of speed s, at that many arrivals r a second over all
/// proxies: in proportion to n s - n sqrt(s) (S - r) / R, with S the sum of n s and R the sum of n sqrt(s)
/// over the kinds. A kind with a negative part gets none and the rest is solved again, at most once for each
/// kind. Without a rate the split follows the number of backends. All zero when no backend can be used.
///
/// ```
/// use load_balancer::{halb_shares, KindCapacity};
///
/// let fast = KindCapacity { backends: 1.0, speed: 4.0 };
/// let slow = KindCapacity { backends: 1.0, speed: 1.0 };
/// assert_eq!(halb_shares(&[fast, slow], Some(1.0)), [1.0, 0.0], "at light load the fast kind takes all");
/// assert_eq!(halb_shares(&[fast, slow], Some(8.0)), [0.75, 0.25], "past capacity both are used");
/// ```
pub fn halb_shares(kinds: &[KindCapacity], arrival_rate: Option<f64>) -> Vec<f64> {
    let Some(rate) = arrival_rate else { return shares_by_count(kinds, |_| true) };
    let mut remaining = kinds.to_vec();
    loop {
        let root_speeds: f64 = remaining.iter().map(|kind| kind.backends * kind.speed.sqrt()).sum();
        let total_speed: f64 = remaining.iter().map(|kind| kind.backends * kind.speed).sum();
        if rate <= total_speed * NEGLIGIBLE_LOAD_FRACTION || total_speed <= 0.0 {
            let fastest = fastest_speed(&remaining);
            return shares_by_count(kinds, |kind| kind.speed == fastest);
        }
        let spare = total_speed - rate;
        let flow = |kind: &KindCapacity| {
            kind.backends * kind.speed - kind.backends * kind.speed.sqrt() * spare / root_speeds
        };
        let flows: Vec<f64> = remaining.iter().map(flow).collect();
        if flows.iter().all(|flow| *flow >= 0.0) {
            return flows.iter().map(|flow| flow / rate).collect();
        }
        for (kind, flow) in remaining.iter_mut().zip(&flows) {
            if *flow <= 0.0 {
                kind.backends = 0.0;
            }
        }
    }
}

/// Shares in proportion to the backends of the kinds that `included` selects.
fn shares_by_count(kinds: &[KindCapacity], included: impl Fn(&KindCapacity) -> bool) -> Vec<f64> {
    let total: f64 = kinds.iter().filter(|kind| included(kind)).map(|kind| kind.backends).sum();
    let share = |kind: &KindCapacity| if included(kind) && total > 0.0 { kind.backends / total } else { 0.0 };
    kinds.iter().map(share).collect()
}

fn fastest_speed(kinds: &[KindCapacity]) -> f64 {
    kinds.iter().filter(|kind| kind.backends > 0.0).map(|kind| kind.speed).fold(0.0, f64::max)
}
