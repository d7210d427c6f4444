//! Statistics of request classes: arrival shares, latencies, and shares served on time.

use super::reconfiguration::ClassMapping;
use crate::config::Class;
use crate::estimators::RunningMean;
use crate::units::{ClassId, Micros};

/// Samples in the window of a running mean or share. The error of a mean is then about a tenth of the
/// spread of the samples.
pub(super) const MEAN_WINDOW: f64 = 100.0;
/// Assumed latency of a class before any of its requests is served, as a fraction of its latency objective.
const ASSUMED_LATENCY_FRACTION: f64 = 0.25;

/// A class and its statistics.
pub(super) struct TrackedClass {
    pub config: Class,
    /// Latency of served requests, in seconds.
    latency: RunningMean,
    arrival_share: f64,
    on_time_share: f64,
}

impl TrackedClass {
    fn new(config: Class) -> TrackedClass {
        TrackedClass { config, latency: RunningMean::default(), arrival_share: 0.0, on_time_share: 0.0 }
    }

    /// Fraction of recent arrivals that belong to this class.
    pub fn arrival_share(&self) -> f64 {
        self.arrival_share
    }

    /// Fraction of recently finished requests of all classes that belong to this class and were served on
    /// time.
    pub fn on_time_share(&self) -> f64 {
        self.on_time_share
    }
}

/// The classes, indexed by [`ClassId`]. The active ones come first, followed by those that a reconfiguration
/// removed while they had pending requests or attempts in flight.
pub(super) struct ClassTable {
    classes: Vec<TrackedClass>,
    active_count: usize,
    /// Latency of served requests of all classes, in seconds.
    overall_latency: RunningMean,
    /// In seconds on a standard core.
    expected_work: RunningMean,
}

impl ClassTable {
    pub fn new(classes: &[Class]) -> ClassTable {
        ClassTable {
            classes: classes.iter().cloned().map(TrackedClass::new).collect(),
            active_count: classes.len(),
            overall_latency: RunningMean::default(),
            expected_work: RunningMean::default(),
        }
    }

    /// The classes of the active configuration.
    pub fn active(&self) -> &[TrackedClass] {
        &self.classes[..self.active_count]
    }

    /// The active classes, followed by those kept for their pending requests and attempts.
    pub fn all(&self) -> &[TrackedClass] {
        &self.classes
    }

    /// The ids of [`all`](ClassTable::all).
    pub fn ids(&self) -> impl Iterator<Item = ClassId> {
        (0..self.classes.len()).map(ClassId)
    }

    /// The configuration of an active class.
    pub fn config(&self, class: ClassId) -> Option<&Class> {
        self.active().get(class.0).map(|class| &class.config)
    }

    pub fn record_arrival(&mut self, arrived: ClassId) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            let sample = f64::from(index == arrived.0);
            class.arrival_share += (sample - class.arrival_share) / MEAN_WINDOW;
        }
    }

    /// Records the final response of a request.
    pub fn record_final_response(&mut self, finished: ClassId, on_time: bool) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            let sample = f64::from(on_time && index == finished.0);
            class.on_time_share += (sample - class.on_time_share) / MEAN_WINDOW;
        }
    }

    /// Records the latency of a served request.
    pub fn record_latency(&mut self, class: ClassId, secs: f64) {
        self.classes[class.0].latency.add(secs, MEAN_WINDOW);
        self.overall_latency.add(secs, MEAN_WINDOW);
    }

    /// Scales the latency `secs` of a request of the class to that of a request of mean work. The class must
    /// have a latency sample.
    pub fn scaled_to_mean_work(&self, class: ClassId, secs: f64) -> f64 {
        secs * self.overall_latency.mean_or_zero() / self.classes[class.0].latency.mean_or_zero()
    }

    /// Records the work that a client expects its request to take.
    pub fn record_expected_work(&mut self, work: Micros) {
        self.expected_work.add(work.secs(), MEAN_WINDOW);
    }

    /// Mean work that clients expect a request to take, in seconds on a standard core; `None` before
    /// the first sample.
    pub fn expected_work_secs(&self) -> Option<f64> {
        self.expected_work.mean()
    }

    /// Whether any request was served yet.
    pub fn has_latency(&self) -> bool {
        self.overall_latency.samples() > 0.0
    }

    /// Work of a request of the class relative to that of a mean request, estimated from latencies.
    pub fn relative_work(&self, class: ClassId) -> f64 {
        self.classes[class.0].latency.mean().map_or(1.0, |secs| secs / self.overall_latency.mean_or_zero())
    }

    /// Mean latency of served requests of the class; an assumed fraction of `objective` before the first one.
    pub fn typical_latency(&self, class: ClassId, objective: Micros) -> Micros {
        let assumed = objective.times(ASSUMED_LATENCY_FRACTION);
        self.classes[class.0].latency.mean().map_or(assumed, Micros::from_secs)
    }

    /// Replaces the active classes. `previous` holds the old index of each new class, whose statistics are
    /// kept, or `None` for a class that was not there before. Pass the returned mapping to
    /// [`renumber`](ClassTable::renumber) for each pending request and attempt in flight.
    pub fn replace(&mut self, classes: &[Class], previous: &[Option<ClassId>]) -> ClassMapping {
        let replaced: Vec<TrackedClass> = std::mem::take(&mut self.classes);
        let mut mapping = ClassMapping::new(replaced);
        for (index, config) in classes.iter().enumerate() {
            let old_id = previous.get(index).copied().flatten();
            let known = old_id.and_then(|old_id| mapping.assign(old_id, ClassId(index)));
            let tracked = known.unwrap_or_else(|| TrackedClass::new(config.clone()));
            self.classes.push(TrackedClass { config: config.clone(), ..tracked });
        }
        self.active_count = classes.len();
        mapping
    }

    /// The new index of the class of a pending request or an attempt in flight. A removed class is moved
    /// behind the active ones.
    pub fn renumber(&mut self, mapping: &mut ClassMapping, class: ClassId) -> ClassId {
        if mapping.is_unassigned(class) {
            let removed = mapping.assign(class, ClassId(self.classes.len()));
            self.classes.extend(removed);
        }
        mapping.new_id(class)
    }
}
