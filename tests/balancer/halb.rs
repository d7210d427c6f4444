//! HALB shares against values computed by hand from the paper's formula.

use load_balancer::KindCapacity;

/// The shares of kinds, each given as its backends and their speed.
fn halb_shares(kinds: &[(f64, f64)], arrival_rate: Option<f64>) -> Vec<f64> {
    let capacity = |&(backends, speed): &(f64, f64)| KindCapacity { backends, speed };
    let kinds: Vec<KindCapacity> = kinds.iter().map(capacity).collect();
    load_balancer::halb_shares(&kinds, arrival_rate)
}

fn assert_close(actual: Vec<f64>, expected: &[f64]) {
    assert_eq!(actual.len(), expected.len());
    for (share, expected_share) in actual.iter().zip(expected) {
        assert!((share - expected_share).abs() < 1e-9, "got {actual:?}, want {expected:?}");
    }
}

const TWO_KINDS: [(f64, f64); 2] = [(1.0, 4.0), (1.0, 1.0)];

#[test]
fn both_kinds_serve_above_the_clamp() {
    // roots 3, speeds 5: flows 4 - 2 * 1.5 / 3 = 3 and 1 - 1.5 / 3 = 0.5.
    assert_close(halb_shares(&TWO_KINDS, Some(3.5)), &[6.0 / 7.0, 1.0 / 7.0]);
}

#[test]
fn at_light_load_the_slow_kind_gets_nothing() {
    assert_close(halb_shares(&TWO_KINDS, Some(2.0)), &[1.0, 0.0]);
    assert_close(halb_shares(&TWO_KINDS, Some(1.0)), &[1.0, 0.0]);
}

#[test]
fn a_clamped_kind_leaves_and_the_rest_is_solved_again() {
    // Of all three: roots 6, speeds 14, the third flow 1 - 8.5 / 6 < 0.
    // Of the first two: roots 5, speeds 13: 9 - 3 * 1.5 = 4.5 and 4 - 2 * 1.5 = 1.
    let three = [(1.0, 9.0), (1.0, 4.0), (1.0, 1.0)];
    assert_close(halb_shares(&three, Some(5.5)), &[4.5 / 5.5, 1.0 / 5.5, 0.0]);
}

#[test]
fn backend_counts_weigh_and_may_be_fractions() {
    // roots 2 * 2 + 0.5 = 4.5, speeds 8.5: at 4 a second (8.5 - 4) / 4.5 = 1: flows 8 - 4 and 0.5 - 0.5.
    assert_close(halb_shares(&[(2.0, 4.0), (0.5, 1.0)], Some(4.0)), &[1.0, 0.0]);
    // At 6.25: (8.5 - 6.25) / 4.5 = 0.5: flows 8 - 2 and 0.5 - 0.25.
    assert_close(halb_shares(&[(2.0, 4.0), (0.5, 1.0)], Some(6.25)), &[0.96, 0.04]);
}

#[test]
fn over_capacity_all_traffic_is_still_divided() {
    // (5 - 8) / 3 = -1: flows 4 + 2 and 1 + 1.
    assert_close(halb_shares(&TWO_KINDS, Some(8.0)), &[0.75, 0.25]);
}

#[test]
fn without_a_rate_ready_counts_decide() {
    assert_close(halb_shares(&[(3.0, 4.0), (1.0, 1.0), (0.0, 9.0)], None), &[0.75, 0.25, 0.0]);
}

#[test]
fn near_zero_rate_the_fastest_kind_takes_all() {
    assert_close(halb_shares(&TWO_KINDS, Some(0.0)), &[1.0, 0.0]);
    assert_close(halb_shares(&[(1.0, 4.0), (3.0, 4.0)], Some(0.0)), &[0.25, 0.75]);
    assert_close(halb_shares(&[(0.0, 9.0), (1.0, 4.0), (1.0, 1.0)], Some(1e-12)), &[0.0, 1.0, 0.0]);
}

#[test]
fn one_kind_takes_all_and_none_ready_takes_nothing() {
    assert_close(halb_shares(&[(2.0, 3.0)], Some(1.0)), &[1.0]);
    assert_close(halb_shares(&[(0.0, 3.0), (0.0, 1.0)], Some(1.0)), &[0.0, 0.0]);
    assert_close(halb_shares(&[(0.0, 3.0), (2.0, 1.0)], Some(1.0)), &[0.0, 1.0]);
    assert_close(halb_shares(&[], Some(1.0)), &[]);
    assert_close(halb_shares(&[], None), &[]);
}
