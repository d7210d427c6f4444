//! Validation of configurations.

use load_balancer::{Balancer, Config, Micros, Tenant};

/// Guards against a balancer that starts with an out-of-range value, and errors that name another field.
#[test]
fn an_out_of_range_field_is_named_by_the_error() {
    let error_field = |change: fn(&mut Config)| {
        let mut config = Config::example();
        change(&mut config);
        Balancer::new(config, 1).err().map(|error| error.field)
    };
    assert_eq!(error_field(|config| config.proxy_count = 0), Some("proxy_count"));
    assert_eq!(error_field(|config| config.classes.clear()), Some("classes"));
    assert_eq!(
        error_field(|config| config.classes[0].latency_objective = Micros(0)),
        Some("latency_objective")
    );
    assert_eq!(error_field(|config| config.classes[0].priority_weight = f64::NAN), Some("priority_weight"));
    assert_eq!(
        error_field(|config| config.classes[0].late_weight_fraction = 1.5),
        Some("late_weight_fraction")
    );
    assert_eq!(
        error_field(|config| config.tenants.push(Tenant { quota_per_second: -1.0 })),
        Some("quota_per_second")
    );
    assert_eq!(error_field(|config| config.max_attempts = 0), Some("max_attempts"));
    assert_eq!(error_field(|config| config.tick = Micros(0)), Some("tick"));
    assert_eq!(
        error_field(|config| config.slow_start_initial_fraction = -0.1),
        Some("slow_start_initial_fraction")
    );
    assert_eq!(error_field(|config| config.overload_multiple = f64::INFINITY), Some("overload_multiple"));
    assert_eq!(error_field(|_| ()), None);
}
