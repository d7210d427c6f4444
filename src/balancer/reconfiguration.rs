//! Replaces the active configuration. The statistics of classes and the quotas of tenants that remain are
//! kept under their new indices. Pending requests keep the class settings with which they arrived.

use super::classes::TrackedClass;
use super::{shortest_objective, Balancer};
use crate::action::LogEvent;
use crate::config::ConfigUpdate;
use crate::units::{ClassId, Time};

/// Maps the class indices of the replaced configuration to those of the new one, and carries the state of the
/// classes over.
pub(super) struct ClassMapping {
    /// The classes of the replaced configuration; `None` for those already assigned a new index.
    replaced: Vec<Option<TrackedClass>>,
    new_ids: Vec<ClassId>,
}

impl ClassMapping {
    pub fn new(replaced: Vec<TrackedClass>) -> ClassMapping {
        let new_ids = vec![ClassId(0); replaced.len()];
        ClassMapping { replaced: replaced.into_iter().map(Some).collect(), new_ids }
    }

    /// Whether the class exists and has not been assigned a new index.
    pub fn is_unassigned(&self, old_id: ClassId) -> bool {
        self.replaced.get(old_id.0).is_some_and(Option::is_some)
    }

    /// Assigns a class its new index and returns its state; `None` if that was returned before or there is no
    /// such class.
    pub fn assign(&mut self, old_id: ClassId, new_id: ClassId) -> Option<TrackedClass> {
        let class = self.replaced.get_mut(old_id.0)?;
        self.new_ids[old_id.0] = new_id;
        class.take()
    }

    /// The new index of a class that has been assigned one.
    pub fn new_id(&self, old_id: ClassId) -> ClassId {
        self.new_ids[old_id.0]
    }
}

impl Balancer {
    /// Applies a new configuration. An invalid one is logged and changes nothing.
    pub(super) fn reconfigure(&mut self, now: Time, update: ConfigUpdate) {
        if let Err(error) = update.config.validate() {
            return self.log.push(now, LogEvent::ConfigRejected(error), &mut self.actions);
        }
        let old_discovery = self.config.discovery;
        self.replace_config(update);
        self.subscription.reconfigure(now, old_discovery, self.config.discovery);
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
        self.share_update_interval = shortest_objective(&config.classes);
        self.quotas.replace(config.tenants.len(), &previous_tenants);
        self.config = config;
    }
}
