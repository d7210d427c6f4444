//! Balancer ticks. In each tick the balancer handles the events since the previous one, and the dispatcher
//! executes the resulting actions.

use super::Dispatcher;
use load_balancer::{Event, Micros, Time};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The balancer panicked while handling an event, so its state may be inconsistent.
struct BalancerPanicked;

impl Dispatcher {
    /// Lets the balancer handle the timers that are due and the events since the last tick. Does nothing if
    /// there are none.
    pub(super) fn run_tick(&mut self, now: Time) {
        while let Some(token) = self.timers.pop_due(now) {
            self.events.push(Event::TimerFired { token });
        }
        if self.events.is_empty() {
            return;
        }
        self.next_tick = tick_after(now, self.settings.balancer.tick);
        for event in std::mem::take(&mut self.events) {
            if let Err(BalancerPanicked) = self.handle_event(now, event) {
                self.restart_balancer();
                return;
            }
        }
        self.requests.remove_finished(&mut self.deadlines);
    }

    fn handle_event(&mut self, now: Time, mut event: Event) -> Result<(), BalancerPanicked> {
        if let Event::RequestArrived(arrival) = &mut event {
            // Computed at the time of this tick, so that the wait for the tick does not move the deadline
            // that the balancer derives from it.
            let request = self.requests.get(arrival.request);
            arrival.time_left = request.map_or(Micros(0), |request| request.deadline - now);
        }
        let mut actions = std::mem::take(&mut self.actions);
        let handled = catch_unwind(AssertUnwindSafe(|| self.balancer.handle(now, event, &mut actions)));
        // After a panic, the actions that the balancer emitted before it are still executed. All open
        // requests are then failed.
        for action in actions.drain(..) {
            self.execute(now, action);
        }
        self.actions = actions;
        handled.map_err(|_| BalancerPanicked)
    }
}

/// Returns the time of the first tick after `now`. Ticks are aligned to multiples of the tick length, so that
/// a late wake-up does not delay the following ticks.
fn tick_after(now: Time, tick: Micros) -> Time {
    Time(now.0 - now.0 % tick.0) + tick
}
