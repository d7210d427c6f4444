//! Speed estimation: how many requests a second can one backend of a kind serve? A backend that shares its
//! processor among its requests answers in T = 1 / (speed - flow) on average, flow being the requests a
//! second that it receives; so its speed is 1 / T + flow, with T the mean latency of served requests.

use super::classes::MEAN_WINDOW;
use super::fleet::Fleet;
use crate::estimators::RunningMean;
use crate::units::Micros;

/// Time constant of a speed: it changes seldom, the traffic from which it is computed all the time.
const SPEED_MEMORY: Micros = Micros(10_000_000);
/// Multiple of its kind's mean latency up to which an answer counts: a few late answers of outliers do not
/// make the whole kind look slow.
const LATENCY_CLIP: f64 = 3.0;
/// Answers before a kind's mean latency counts.
const LEAST_SAMPLES: f64 = 10.0;
/// Part of the shortest latency objective that an unloaded answer is taken to need until answers tell: with
/// more the objective could hardly be kept, whatever the balancer does.
const UNLOADED_PRIOR_FRACTION: f64 = 0.5;
/// Rise of an unloaded latency towards the measured one, for each second.
const UNLOADED_RISE_PER_SECOND: f64 = 0.03;
/// Part of a kind's backends that has to be warm and healthy for what they carry to tell what they can do.
const REPRESENTATIVE_FRACTION: f64 = 0.8;

/// What is learned of the speed of one kind's backends.
#[derive(Default)]
pub(super) struct KindSpeed {
    /// Seconds from dispatch to answer, of served requests of mean work.
    latency: RunningMean,
    /// Requests a second that one backend carried of late.
    carried: f64,
    /// Requests a second that one backend can serve; zero while nothing is known.
    speed: f64,
    /// Lowest mean latency of late, in seconds, from above: too high an estimate falls with the first
    /// answers, too low a one would rise for long.
    unloaded_secs: Option<f64>,
    /// The same from the first answer on, without a prior.
    fastest_secs: Option<f64>,
}

/// A kind's part of the traffic and the state of its backends.
struct KindLoad {
    /// Sum of the readiness of its backends.
    total_readiness: f64,
    /// How many backends the list allows requests to.
    listed_ready_backends: f64,
    /// Requests a second for each ready backend.
    flow: f64,
}

impl KindSpeed {
    /// Requests a second that one backend can serve.
    pub fn requests_per_second(&self) -> f64 {
        self.speed
    }

    fn is_known(&self) -> bool {
        self.speed > 0.0
    }

    /// Mean latency of an unloaded backend, in seconds.
    pub fn unloaded_secs(&self) -> Option<f64> {
        self.unloaded_secs
    }

    /// Requests a second that a backend is known to bear: what others carried, and no less than one at a
    /// time. `None` before the first answer.
    pub fn proven_rate(&self) -> Option<f64> {
        self.fastest_secs.map(|secs| self.carried.max(1.0 / secs))
    }

    /// Takes in a served request: its latency, in seconds, scaled to mean work.
    pub fn record_latency(&mut self, secs: f64) {
        let limit = self.latency.get().unwrap_or(secs) * LATENCY_CLIP;
        self.latency.add(secs.min(limit), MEAN_WINDOW);
    }

    fn update(&mut self, load: &KindLoad, elapsed_secs: f64, latency_prior_secs: f64) {
        self.update_unloaded(elapsed_secs, latency_prior_secs);
        let weight = (elapsed_secs / SPEED_MEMORY.secs()).min(1.0);
        if load.total_readiness > load.listed_ready_backends * REPRESENTATIVE_FRACTION {
            self.carried += (load.flow - self.carried) * weight;
        }
        // Smoothed: the flow is this proxy's own view. Unsmoothed, a kind with a large share looks ever
        // faster, and the proxies swing together.
        let speed = self.latency.get().map_or(0.0, |secs| 1.0 / secs + load.flow);
        let weight = if self.latency.samples() < LEAST_SAMPLES { 1.0 } else { weight };
        self.speed += (speed - self.speed) * weight;
    }

    fn update_unloaded(&mut self, elapsed_secs: f64, prior_secs: f64) {
        let rise = 1.0 + UNLOADED_RISE_PER_SECOND * elapsed_secs;
        let risen = self.unloaded_secs.map_or(prior_secs, |secs| secs * rise);
        self.unloaded_secs = Some(self.latency.shrunk_towards(prior_secs, LEAST_SAMPLES).min(risen));
        let risen = self.fastest_secs.map_or(f64::MAX, |secs| secs * rise);
        self.fastest_secs = self.latency.get().map(|secs| secs.min(risen));
    }
}

/// Updates the speed of every kind. A kind without data counts as fast as the mean of the others.
pub(super) fn update_speeds(
    fleet: &mut Fleet, elapsed_secs: f64, fleet_rate: Option<f64>, shortest_objective: Micros,
) {
    let latency_prior_secs = shortest_objective.secs() * UNLOADED_PRIOR_FRACTION;
    for kind in fleet.kinds.values_mut() {
        let total_readiness = kind.total_readiness;
        let kind_rate = fleet_rate.unwrap_or(0.0) * kind.fleet_share;
        let flow = if total_readiness > 0.0 { kind_rate / total_readiness } else { 0.0 };
        let load = KindLoad { total_readiness, listed_ready_backends: kind.listed_ready_backends, flow };
        kind.speed.update(&load, elapsed_secs, latency_prior_secs);
    }
    let mean = mean_known_speed(fleet);
    for kind in fleet.kinds.values_mut().filter(|kind| !kind.speed.is_known()) {
        kind.speed.speed = mean;
    }
}

fn mean_known_speed(fleet: &Fleet) -> f64 {
    let (mut total, mut count) = (0.0, 0.0);
    for kind in fleet.kinds.values().filter(|kind| kind.speed.is_known()) {
        total += kind.speed.speed;
        count += 1.0;
    }
    if count > 0.0 {
        total / count
    } else {
        1.0
    }
}
