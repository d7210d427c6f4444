//! A tick of the balancer: it handles the events since the last one, and its actions are carried out.

use super::Dispatcher;
use load_balancer::{Event, Micros, Time};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The balancer panicked while it handled an event: its state cannot be trusted any more.
struct BalancerPanicked;

impl Dispatcher {
    /// Lets the balancer handle the events since the last tick and the timers that are due, if there are any.
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
            // As of this tick: the wait for it must not put off the deadline that the balancer works out.
            let request = self.requests.get(arrival.request);
            arrival.time_left = request.map_or(Micros(0), |request| request.deadline - now);
        }
        let mut actions = std::mem::take(&mut self.actions);
        let handled = catch_unwind(AssertUnwindSafe(|| self.balancer.handle(now, event, &mut actions)));
        // After a panic too: what the balancer asked for before it. All open requests are failed next.
        for action in actions.drain(..) {
            self.carry_out(now, action);
        }
        self.actions = actions;
        handled.map_err(|_| BalancerPanicked)
    }
}

/// The first tick after `now`. Ticks lie on a grid: counted from each other, every late wake-up would put off
/// all that follow.
fn tick_after(now: Time, tick: Micros) -> Time {
    Time(now.0 - now.0 % tick.0) + tick
}
