//! HALB: the share of the traffic for each kind of backend that minimizes the mean response time, after the
//! paper "Optimal Load-Balancing for Heterogeneous Clusters".
//!
//! Each backend is modelled as an M/G/1 processor-sharing queue. The optimal shares follow in closed form
//! from the number of backends of each kind, their service rates and the arrival rate of the whole fleet.
//! All rates are in requests per second. Negative shares are clamped to zero.

/// The capacity of one kind of backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindCapacity {
    /// Number of usable backends; one that is not fully ready counts as a fraction.
    pub backends: f64,
    /// Requests per second that one of them can serve.
    pub service_rate: f64,
}

/// An arrival rate up to this fraction of the fleet's total service rate counts as zero.
const NEGLIGIBLE_LOAD_FRACTION: f64 = 1e-6;

/// Returns the share of the traffic for each kind, from 0 to 1, at the given arrival rate in requests per
/// second over all proxies.
///
/// With the arrival rate r, a kind of n backends with the service rate s receives n s - n sqrt(s) (S - r) /
/// R requests per second. Over all kinds, S is the sum of n s and R the sum of n sqrt(s). A kind for which
/// the formula is negative gets no traffic. The formula is then solved again for the other kinds, at most
/// once per kind. At a negligible arrival rate the kind with the highest service rate gets all traffic.
/// Without an arrival rate the shares are in proportion to the numbers of backends. All shares are zero if
/// no backend is usable.
///
/// ```
/// use load_balancer::{halb_shares, KindCapacity};
///
/// let fast = KindCapacity { backends: 1.0, service_rate: 4.0 };
/// let slow = KindCapacity { backends: 1.0, service_rate: 1.0 };
/// assert_eq!(halb_shares(&[fast, slow], Some(1.0)), [1.0, 0.0], "at light load the fast kind gets all");
/// assert_eq!(halb_shares(&[fast, slow], Some(8.0)), [0.75, 0.25], "over capacity both are used");
/// ```
pub fn halb_shares(kinds: &[KindCapacity], arrival_rate: Option<f64>) -> Vec<f64> {
    let Some(rate) = arrival_rate else { return shares_by_count(kinds, |_| true) };
    let mut remaining = kinds.to_vec();
    loop {
        let root_sum: f64 = remaining.iter().map(|kind| kind.backends * kind.service_rate.sqrt()).sum();
        let total_rate: f64 = remaining.iter().map(|kind| kind.backends * kind.service_rate).sum();
        if rate <= total_rate * NEGLIGIBLE_LOAD_FRACTION || total_rate <= 0.0 {
            let highest = highest_service_rate(&remaining);
            return shares_by_count(kinds, |kind| kind.service_rate == highest);
        }
        let spare = total_rate - rate;
        let rate_of_kind = |kind: &KindCapacity| {
            kind.backends * kind.service_rate - kind.backends * kind.service_rate.sqrt() * spare / root_sum
        };
        let kind_rates: Vec<f64> = remaining.iter().map(rate_of_kind).collect();
        if kind_rates.iter().all(|kind_rate| *kind_rate >= 0.0) {
            return kind_rates.iter().map(|kind_rate| kind_rate / rate).collect();
        }
        for (kind, kind_rate) in remaining.iter_mut().zip(&kind_rates) {
            if *kind_rate <= 0.0 {
                kind.backends = 0.0;
            }
        }
    }
}

/// Shares in proportion to the numbers of backends, over the kinds that `included` selects.
fn shares_by_count(kinds: &[KindCapacity], included: impl Fn(&KindCapacity) -> bool) -> Vec<f64> {
    let total: f64 = kinds.iter().filter(|kind| included(kind)).map(|kind| kind.backends).sum();
    let share = |kind: &KindCapacity| if included(kind) && total > 0.0 { kind.backends / total } else { 0.0 };
    kinds.iter().map(share).collect()
}

fn highest_service_rate(kinds: &[KindCapacity]) -> f64 {
    kinds.iter().filter(|kind| kind.backends > 0.0).map(|kind| kind.service_rate).fold(0.0, f64::max)
}
