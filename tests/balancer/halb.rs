//! HALB shares, compared with values computed by hand from the paper's formula. R and S are the sums in the
//! documentation of [`load_balancer::halb_shares`].

use load_balancer::KindCapacity;

/// The shares of kinds, each given as its number of backends and the service rate of one.
fn halb_shares(kinds: &[(f64, f64)], arrival_rate: Option<f64>) -> Vec<f64> {
    let capacity = |&(backends, service_rate): &(f64, f64)| KindCapacity { backends, service_rate };
    let kinds: Vec<KindCapacity> = kinds.iter().map(capacity).collect();
    load_balancer::halb_shares(&kinds, arrival_rate)
}

fn assert_close(actual: Vec<f64>, expected: &[f64]) {
    assert_eq!(actual.len(), expected.len());
    for (share, expected_share) in actual.iter().zip(expected) {
        assert!((share - expected_share).abs() < 1e-9, "shares {actual:?}, expected {expected:?}");
    }
}

const TWO_KINDS: [(f64, f64); 2] = [(1.0, 4.0), (1.0, 1.0)];

#[test]
fn both_kinds_get_traffic_at_moderate_load() {
    // R = 3, S = 5: rates 4 - 2 * 1.5 / 3 = 3 and 1 - 1.5 / 3 = 0.5.
    assert_close(halb_shares(&TWO_KINDS, Some(3.5)), &[6.0 / 7.0, 1.0 / 7.0]);
}

#[test]
fn the_slow_kind_gets_no_traffic_at_light_load() {
    assert_close(halb_shares(&TWO_KINDS, Some(2.0)), &[1.0, 0.0]);
    assert_close(halb_shares(&TWO_KINDS, Some(1.0)), &[1.0, 0.0]);
}

#[test]
fn shares_are_solved_again_without_a_clamped_kind() {
    // All three kinds: R = 6, S = 14: the third rate is 1 - 8.5 / 6 < 0.
    // The first two: R = 5, S = 13: rates 9 - 3 * 1.5 = 4.5 and 4 - 2 * 1.5 = 1.
    let three = [(1.0, 9.0), (1.0, 4.0), (1.0, 1.0)];
    assert_close(halb_shares(&three, Some(5.5)), &[4.5 / 5.5, 1.0 / 5.5, 0.0]);
}

#[test]
fn shares_depend_on_backend_counts_which_may_be_fractional() {
    // R = 2 * 2 + 0.5 = 4.5, S = 8.5. At 4 per second (8.5 - 4) / 4.5 = 1: rates 8 - 4 and 0.5 - 0.5.
    assert_close(halb_shares(&[(2.0, 4.0), (0.5, 1.0)], Some(4.0)), &[1.0, 0.0]);
    // At 6.25 per second (8.5 - 6.25) / 4.5 = 0.5: rates 8 - 2 and 0.5 - 0.25.
    assert_close(halb_shares(&[(2.0, 4.0), (0.5, 1.0)], Some(6.25)), &[0.96, 0.04]);
}

#[test]
fn traffic_above_capacity_is_divided_in_full() {
    // (5 - 8) / 3 = -1: rates 4 + 2 and 1 + 1.
    assert_close(halb_shares(&TWO_KINDS, Some(8.0)), &[0.75, 0.25]);
}

#[test]
fn shares_are_in_proportion_to_backend_counts_without_an_arrival_rate() {
    assert_close(halb_shares(&[(3.0, 4.0), (1.0, 1.0), (0.0, 9.0)], None), &[0.75, 0.25, 0.0]);
}

#[test]
fn the_fastest_kind_gets_all_traffic_at_a_negligible_arrival_rate() {
    assert_close(halb_shares(&TWO_KINDS, Some(0.0)), &[1.0, 0.0]);
    assert_close(halb_shares(&[(1.0, 4.0), (3.0, 4.0)], Some(0.0)), &[0.25, 0.75]);
    assert_close(halb_shares(&[(0.0, 9.0), (1.0, 4.0), (1.0, 1.0)], Some(1e-12)), &[0.0, 1.0, 0.0]);
}

#[test]
fn kinds_without_usable_backends_get_no_traffic() {
    assert_close(halb_shares(&[(2.0, 3.0)], Some(1.0)), &[1.0]);
    assert_close(halb_shares(&[(0.0, 3.0), (0.0, 1.0)], Some(1.0)), &[0.0, 0.0]);
    assert_close(halb_shares(&[(0.0, 3.0), (2.0, 1.0)], Some(1.0)), &[0.0, 1.0]);
    assert_close(halb_shares(&[], Some(1.0)), &[]);
    assert_close(halb_shares(&[], None), &[]);
}
