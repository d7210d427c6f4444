//! Points in time, durations and identifiers.

/// A point in time, in microseconds of the host's clock. The clock's origin is arbitrary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(pub u64);

/// A duration in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Micros(pub u64);

impl Time {
    /// Later than every event.
    pub const NEVER: Time = Time(u64::MAX);

    /// The point in time `duration` before this one, at least the clock's origin.
    pub fn saturating_sub(self, duration: Micros) -> Time {
        Time(self.0.saturating_sub(duration.0))
    }
}

impl std::ops::Add<Micros> for Time {
    type Output = Time;
    fn add(self, duration: Micros) -> Time {
        Time(self.0.saturating_add(duration.0))
    }
}

impl std::ops::Sub for Time {
    type Output = Micros;
    /// The duration since `earlier`; zero where `earlier` is the later one.
    fn sub(self, earlier: Time) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Micros {
    /// Converts from seconds, rounding down; a negative number gives zero.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }

    /// Converts to seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Multiplies by `factor`, rounding down; a negative factor gives zero.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

macro_rules! identifiers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

identifiers! {
    /// Identifies a client request; ids are not reused.
    RequestId(u64);
    /// Numeric identifier of a backend, which the host derives from the endpoint list; equal at every proxy.
    BackendId(u64);
    /// Identifies a network zone.
    ZoneId(u64);
    /// Identifies a cell: a group of backends that share the idempotency keys they have seen.
    CellId(u64);
    /// Identifies a kind of machine; backends of one kind are assumed to have the same service rate.
    KindId(u64);
    /// Index into [`Config::classes`](crate::Config::classes).
    ClassId(usize);
    /// Index into [`Config::tenants`](crate::Config::tenants).
    TenantId(usize);
    /// Number of an attempt within its request, from 0 in the order of dispatch.
    AttemptNumber(u32);
    /// Identifies a timer of the balancer.
    TimerToken(u64);
}
