//! The faults that meet the proxy, and the end of its process.

use super::random::{below, one_in};
use super::record::Record;
use super::BACKENDS;
use crate::support::{line, Backend, Client, Discovery, Faults, Proxy};
use rand_pcg::Pcg32;
use serde_json::Value;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// SIGKILL comes so long after SIGTERM and the longest deadline.
const KILL_AFTER: Duration = Duration::from_millis(700);

/// The longest deadline counts as so long at most.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);

pub struct Play {
    pub proxy: Proxy,
    pub config: Value,
    pub faults: Faults,
    pub discovery: Discovery,
    pub backends: Vec<Backend>,
    pub record: Arc<Record>,
}

impl Play {
    /// A backend begins to drain, or has started again.
    fn turn(&self, which: usize, state: &mut (bool, u64)) {
        let line =
            |status: &str, since| line(&format!("s{which}"), self.backends[which].address, status, since);
        let mut drains = self.record.drains.lock().unwrap();
        if state.0 {
            drop(drains);
            self.discovery.tell(false, &[line("draining", state.1)]);
            self.record.drains.lock().unwrap().push((which, Instant::now(), None));
        } else {
            let last = drains.iter_mut().rev().find(|d| d.0 == which);
            last.into_iter().for_each(|d| d.2 = Some(Instant::now()));
            drop(drains);
            state.1 += 1000;
            self.discovery.tell(false, &[line("ready", state.1)]);
        }
        state.0 = !state.0;
    }
}

/// Something happens to the proxy.
pub fn trouble(play: &Play, dice: &mut Pcg32, states: &mut [(bool, u64)], crowd: &mut Vec<Client>) {
    match below(dice, 9) {
        0..=2 => {
            let which = below(dice, BACKENDS as u64) as usize;
            // One at least is left.
            if states[which].0 && states.iter().filter(|s| s.0).count() == 1 {
                return;
            }
            play.turn(which, &mut states[which]);
        }
        3 => (0..=below(dice, 3)).for_each(|_| play.proxy.reload(&play.config.to_string())),
        4 => drop(play.proxy.hold_up(Duration::from_millis(20 + below(dice, 120)), || {})),
        5 => play.faults.step_clock([0, 5, -5, 3600, -3600][below(dice, 5) as usize]),
        6 => play.faults.fail_accepts([0, 5, 50][below(dice, 3) as usize]),
        7 => play.faults.fail_connects([0, 5, 30][below(dice, 3) as usize]),
        _ => {
            crowd.clear();
            crowd.extend((0..below(dice, 80)).filter_map(|_| Client::try_open(play.proxy.address).ok()));
        }
    }
}

/// Tells the proxy to end, in a trouble, and kills it as early as the platform may. Clients go on until then.
pub fn end(play: &Play, dice: &mut Pcg32, longest_ms: u64) {
    play.record.all_hang.store(one_in(dice, 2), Ordering::SeqCst);
    let began = Instant::now();
    play.proxy.terminate();
    if one_in(dice, 2) {
        play.proxy.hold_up(Duration::from_millis(below(dice, 140)), || {});
    }
    if one_in(dice, 2) {
        play.proxy.terminate();
        play.proxy.signal("-HUP");
    }
    let kill = Duration::from_millis(longest_ms).min(LONGEST_COUNTED) + KILL_AFTER;
    std::thread::sleep(kill.saturating_sub(began.elapsed()));
    play.proxy.kill();
}
