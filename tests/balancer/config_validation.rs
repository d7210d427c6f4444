//! Configurations that are out of range.

use load_balancer::{Balancer, Config, Micros, Tenant};

#[test]
fn an_unsound_configuration_is_a_typed_error() {
    let bad = |change: fn(&mut Config)| {
        let mut cfg = Config::example();
        change(&mut cfg);
        Balancer::new(cfg, 1).err().map(|e| e.field)
    };
    assert_eq!(bad(|c| c.proxy_count = 0), Some("proxy_count"));
    assert_eq!(bad(|c| c.classes.clear()), Some("classes"));
    assert_eq!(bad(|c| c.classes[0].latency_objective = Micros(0)), Some("latency_objective"));
    assert_eq!(bad(|c| c.classes[0].priority_weight = f64::NAN), Some("priority_weight"));
    assert_eq!(bad(|c| c.classes[0].late_weight_fraction = 1.5), Some("late_weight_fraction"));
    assert_eq!(bad(|c| c.tenants.push(Tenant { quota_per_second: -1.0 })), Some("quota_per_second"));
    assert_eq!(bad(|c| c.max_attempts = 0), Some("max_attempts"));
    assert_eq!(bad(|c| c.tick = Micros(0)), Some("tick"));
    assert_eq!(bad(|c| c.slow_start_initial_fraction = -0.1), Some("slow_start_initial_fraction"));
    assert_eq!(bad(|c| c.overload_multiple = f64::INFINITY), Some("overload_multiple"));
    assert_eq!(bad(|_| ()), None);
}
