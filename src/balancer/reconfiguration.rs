//! A configuration that replaces the one in force: what was learned of classes and tenants that stay goes on
//! under their new numbers, and requests in hand keep the terms that they came with.

use super::classes::TrackedClass;
use super::{shortest_objective, Balancer};
use crate::action::LogEvent;
use crate::config::ConfigUpdate;
use crate::units::{ClassId, Time};

/// From the numbers of classes before a reconfiguration to those after it.
pub(super) struct ClassMapping {
    /// Classes of the replaced configuration that nobody has taken over yet.
    replaced: Vec<Option<TrackedClass>>,
    new_numbers: Vec<ClassId>,
}

impl ClassMapping {
    pub fn new(replaced: Vec<TrackedClass>) -> ClassMapping {
        let new_numbers = vec![ClassId(0); replaced.len()];
        ClassMapping { replaced: replaced.into_iter().map(Some).collect(), new_numbers }
    }

    /// No class of the new configuration has taken this one over.
    pub fn is_unassigned(&self, old_number: ClassId) -> bool {
        self.replaced.get(old_number.0).is_some_and(Option::is_some)
    }

    /// Gives a class its new number and takes out what was learned of it; `None` where that was done before.
    pub fn assign(&mut self, old_number: ClassId, new_number: ClassId) -> Option<TrackedClass> {
        let learned = self.replaced.get_mut(old_number.0)?;
        self.new_numbers[old_number.0] = new_number;
        learned.take()
    }

    pub fn new_number(&self, old_number: ClassId) -> ClassId {
        self.new_numbers[old_number.0]
    }
}

impl Balancer {
    /// Puts another configuration in force; one that is not sound changes nothing.
    pub(super) fn reconfigure(&mut self, now: Time, update: ConfigUpdate) {
        if let Err(error) = update.config.validate() {
            return self.log.push(now, LogEvent::ConfigRejected(error), &mut self.actions);
        }
        let before = self.config.discovery;
        self.replace_config(update);
        self.subscription.reconfigure(now, before, self.config.discovery);
        self.admission.reconfigure(&self.config);
        self.wakeup.schedule(now);
        self.update_shares(now);
    }

    fn replace_config(&mut self, update: ConfigUpdate) {
        let ConfigUpdate { config, previous_classes, previous_tenants } = update;
        let mut mapping = self.classes.replace(&config.classes, &previous_classes);
        for request in self.requests.values_mut() {
            request.class = self.classes.renumber(&mut mapping, request.class);
        }
        for attempt in self.attempts.values_mut() {
            attempt.class = self.classes.renumber(&mut mapping, attempt.class);
        }
        self.update_interval = shortest_objective(&config.classes);
        self.quotas.replace(config.tenants.len(), &previous_tenants);
        self.config = config;
    }
}
