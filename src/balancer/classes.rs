//! What is learned of request classes: how often they arrive, how long they take, how many are served on
//! time.

use super::reconfiguration::ClassMapping;
use crate::config::Class;
use crate::estimators::RunningMean;
use crate::units::{ClassId, Micros};

/// Samples in every mean and share that is learned: the error of a mean is then about a tenth of the spread.
pub(super) const MEAN_WINDOW: f64 = 100.0;
/// Part of its latency objective that a class is taken to need before one of its requests was served.
const UNKNOWN_LATENCY_FRACTION: f64 = 0.25;

/// A class and what was learned of it.
pub(super) struct TrackedClass {
    pub terms: Class,
    latency: RunningMean,
    arrival_share: f64,
    on_time_share: f64,
}

impl TrackedClass {
    fn new(terms: Class) -> TrackedClass {
        TrackedClass { terms, latency: RunningMean::default(), arrival_share: 0.0, on_time_share: 0.0 }
    }

    /// Its part of the arrivals.
    pub fn arrival_share(&self) -> f64 {
        self.arrival_share
    }

    /// Its part of all finished requests, as far as they were served on time.
    pub fn on_time_share(&self) -> f64 {
        self.on_time_share
    }
}

/// The classes by number. Behind the active ones stand those that a reconfiguration dropped while requests of
/// theirs were in hand.
pub(super) struct ClassTable {
    classes: Vec<TrackedClass>,
    active: usize,
    overall_latency: RunningMean,
    expected_work: RunningMean,
}

impl ClassTable {
    pub fn new(classes: &[Class]) -> ClassTable {
        ClassTable {
            classes: classes.iter().cloned().map(TrackedClass::new).collect(),
            active: classes.len(),
            overall_latency: RunningMean::default(),
            expected_work: RunningMean::default(),
        }
    }

    /// The classes in force.
    pub fn active(&self) -> &[TrackedClass] {
        &self.classes[..self.active]
    }

    /// The classes in force, and those dropped that still have requests in hand.
    pub fn all(&self) -> &[TrackedClass] {
        &self.classes
    }

    /// The numbers of [`all`](ClassTable::all).
    pub fn numbers(&self) -> impl Iterator<Item = ClassId> {
        (0..self.classes.len()).map(ClassId)
    }

    /// The terms of a class in force.
    pub fn terms(&self, class: ClassId) -> Option<&Class> {
        self.active().get(class.0).map(|class| &class.terms)
    }

    pub fn record_arrival(&mut self, arrived: ClassId) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            let hit = f64::from(index == arrived.0);
            class.arrival_share += (hit - class.arrival_share) / MEAN_WINDOW;
        }
    }

    /// Takes in that a request was answered.
    pub fn record_final_answer(&mut self, answered: ClassId, on_time: bool) {
        for (index, class) in self.classes.iter_mut().enumerate() {
            let hit = f64::from(on_time && index == answered.0);
            class.on_time_share += (hit - class.on_time_share) / MEAN_WINDOW;
        }
    }

    /// Takes in the latency of a served request, in seconds.
    pub fn record_latency(&mut self, class: ClassId, secs: f64) {
        self.classes[class.0].latency.add(secs, MEAN_WINDOW);
        self.overall_latency.add(secs, MEAN_WINDOW);
    }

    /// What a request of mean work would have taken, where one of the class took `secs`. Some request of the
    /// class must have been served.
    pub fn scaled_to_mean_work(&self, class: ClassId, secs: f64) -> f64 {
        secs * self.overall_latency.value() / self.classes[class.0].latency.value()
    }

    /// Takes in the work that a client expects of its request.
    pub fn record_expected_work(&mut self, work: Micros) {
        self.expected_work.add(work.secs(), MEAN_WINDOW);
    }

    /// Mean work that clients expect of a request, in seconds on a standard core.
    pub fn expected_work_secs(&self) -> Option<f64> {
        self.expected_work.get()
    }

    /// Some request was served.
    pub fn has_latency(&self) -> bool {
        self.overall_latency.samples() > 0.0
    }

    /// A class's work relative to that of a mean request, as far as latency tells it.
    pub fn relative_work(&self, class: ClassId) -> f64 {
        self.classes[class.0].latency.get().map_or(1.0, |own| own / self.overall_latency.value())
    }

    /// What a served request of the class takes in the mean.
    pub fn typical_latency(&self, class: ClassId, objective: Micros) -> Micros {
        let unknown = objective.times(UNKNOWN_LATENCY_FRACTION);
        self.classes[class.0].latency.get().map_or(unknown, Micros::from_secs)
    }

    /// Puts other classes in force. `previous` names for each its number so far: what was learned of it
    /// stays. The mapping renumbers what is in hand.
    pub fn replace(&mut self, classes: &[Class], previous: &[Option<ClassId>]) -> ClassMapping {
        let replaced: Vec<TrackedClass> = std::mem::take(&mut self.classes);
        let mut mapping = ClassMapping::new(replaced);
        for (index, terms) in classes.iter().enumerate() {
            let before = previous.get(index).copied().flatten();
            let known = before.and_then(|before| mapping.assign(before, ClassId(index)));
            let learned = known.unwrap_or_else(|| TrackedClass::new(terms.clone()));
            self.classes.push(TrackedClass { terms: terms.clone(), ..learned });
        }
        self.active = classes.len();
        mapping
    }

    /// The new number of a class that a request in hand belongs to; a dropped class is kept behind the active
    /// ones.
    pub fn renumber(&mut self, mapping: &mut ClassMapping, class: ClassId) -> ClassId {
        if mapping.is_unassigned(class) {
            let dropped = mapping.assign(class, ClassId(self.classes.len()));
            self.classes.extend(dropped);
        }
        mapping.new_number(class)
    }
}
