//! A proxy among all its troubles at once, judged request by request. What goes wrong and when is drawn from a seed.
//! `SOAK_SEEDS=FROM..TO` plays others than the few that every change has to pass.

use crate::support::{
    config, line, ok, request, until, Backend, Client, Discovery, Faults, Message, Proxy, Reply,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Seeds that every change has to pass, side by side.
const SEEDS: std::ops::Range<u64> = 1..5;

/// Plays side by side.
const AT_ONCE: usize = 4;

/// Requests come and troubles happen for so long, until the proxy is told to end.
const TROUBLE: Duration = Duration::from_secs(12);

const CLIENTS: u64 = 10;

const BACKENDS: usize = 4;

/// What the rules allow beyond their figures, and what the threads of this test may be late on a loaded machine.
const SLACK: Duration = Duration::from_millis(50);

const LATE_THREADS: Duration = Duration::from_millis(400);

/// A request that gets its answer so long after its time is lost.
const ANSWER_LATEST: Duration = Duration::from_millis(500);

/// An attempt that begins later than this after its client closed is a break.
const AFTER_CLOSE: Duration = Duration::from_millis(100);

/// What an attempt may tell its backend beyond what its client has left.
const TOLD_SLACK: Duration = Duration::from_millis(150);

/// SIGKILL comes so long after SIGTERM and the longest deadline, which counts as 3 s at most.
const KILL_AFTER: Duration = Duration::from_millis(700);

const LONGEST_COUNTED: Duration = Duration::from_secs(3);

/// Sends to a backend that drains must cease so soon.
const STOP_SENDING: Duration = Duration::from_secs(1);

fn below(dice: &mut Pcg32, end: u64) -> u64 {
    u64::from(dice.next_u32()) % end
}

/// One in so many.
fn one_in(dice: &mut Pcg32, many: u64) -> bool {
    below(dice, many) == 0
}

/// What became of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Answered(u16, Instant),
    /// It closed its connection.
    Left(Instant),
    /// The connection ended, or nothing came.
    Nothing,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    class: &'static str,
    sent: Instant,
    left: Duration,
    end: End,
}

/// A request as it reached a backend.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: Instant,
    left: Duration,
    backend: usize,
    /// It was not turned away unseen.
    may_have_run: bool,
}

/// What is written down in a play.
#[derive(Default)]
struct Record {
    /// For so long after the first attempt a guarded request may be sent again.
    window: Duration,
    /// Every backend hangs from now on.
    all_hang: AtomicBool,
    asked: Mutex<HashMap<u64, Asked>>,
    attempts: Mutex<HashMap<u64, Vec<Attempt>>>,
    /// Since when each backend is known to drain, and until when that held.
    drains: Mutex<Vec<(usize, Instant, Option<Instant>)>>,
}

fn id_of(message: &Message) -> u64 {
    message.header("x-correlation-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0)
}

/// A backend that mostly serves, and answers with the request's own id.
fn start_backend(number: usize, seed: u64, record: &Arc<Record>) -> Backend {
    let (record, dice) = (record.clone(), Mutex::new(Pcg32::seed_from_u64(seed * 100 + number as u64)));
    Backend::start(move |message| {
        let (what, wait) = {
            let mut dice = dice.lock().unwrap();
            (below(&mut dice, 40), below(&mut dice, 40))
        };
        let at = Instant::now();
        let left = Duration::from_millis(message.header("x-time-left-ms").unwrap().parse().unwrap());
        let attempt = Attempt { at, left, backend: number, may_have_run: what != 0 };
        record.attempts.lock().unwrap().entry(id_of(message)).or_default().push(attempt);
        std::thread::sleep(Duration::from_millis(wait));
        let body = format!("{:x}", id_of(message));
        match what {
            _ if what > 0 && record.all_hang.load(Ordering::SeqCst) => Reply::Silence,
            0 => Reply::Say("HTTP/1.1 503 x\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".into()),
            1 => Reply::Say("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n".into()),
            2 => Reply::SayAndReset(String::new()),
            3 => Reply::SayAndReset(format!("HTTP/1.1 200 OK\r\n\r\n{body}")),
            4 => Reply::SayAndClose(format!("HTTP/1.1 200 OK\r\n\r\n{body}")),
            5 => Reply::SayAndClose(format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{body}")),
            6 => Reply::Silence,
            _ => ok(&body),
        }
    })
}

/// One client: a request at a time on a connection that it keeps while it can.
struct Asker<'a> {
    to: std::net::SocketAddr,
    dice: Pcg32,
    record: &'a Record,
    next: &'a AtomicU64,
    longest_ms: u64,
}

impl Asker<'_> {
    /// Asks until it is told to stop. Each connection is kept for as long as the proxy leaves it open.
    fn run(&mut self, stop: &AtomicBool) {
        let mut held: Option<Client> = None;
        while !stop.load(Ordering::SeqCst) {
            let Some(client) = held.take().or_else(|| Client::try_open(self.to).ok()) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            held = self.ask(client);
            std::thread::sleep(Duration::from_millis(below(&mut self.dice, 60)));
            if one_in(&mut self.dice, 40) {
                std::thread::sleep(Duration::from_millis(1700 + below(&mut self.dice, 500)));
            }
        }
    }

    /// Sends a request and writes down what became of it; gives the connection back if it can be kept.
    fn ask(&mut self, mut client: Client) -> Option<Client> {
        let class = ["read", "vote", "pay"][below(&mut self.dice, 3) as usize];
        let left_ms = self.longest_ms / 3 + below(&mut self.dice, self.longest_ms * 2 / 3);
        let id = self.next.fetch_add(1, Ordering::SeqCst);
        let text = request(class, left_ms).replace("9b1f03aa5c7e2d41", &format!("{id:x}"));
        if one_in(&mut self.dice, 12) {
            let cut = below(&mut self.dice, text.len() as u64) as usize;
            client.send(&text[..cut]);
            std::thread::sleep(Duration::from_millis(below(&mut self.dice, 400)));
            client.send(&text[cut..]);
        } else {
            client.send(&text);
        }
        let (sent, left) = (Instant::now(), Duration::from_millis(left_ms));
        let mut asked = Asked { class, sent, left, end: End::Nothing };
        if one_in(&mut self.dice, 12) {
            std::thread::sleep(Duration::from_millis(below(&mut self.dice, 200)));
            asked.end = End::Left(Instant::now());
            drop(client);
            self.record.asked.lock().unwrap().insert(id, asked);
            return None;
        }
        client.wait_for_at_most(left + ANSWER_LATEST + LATE_THREADS);
        let answer = client.answer();
        if let Some(answer) = &answer {
            assert!(
                answer.status() != 200 || answer.body == format!("{id:x}").into_bytes(),
                "another's answer"
            );
            asked.end = End::Answered(answer.status(), Instant::now());
        }
        self.record.asked.lock().unwrap().insert(id, asked);
        let kept = answer.is_some_and(|a| a.header("connection") != Some("close"));
        kept.then_some(client)
    }
}

/// The configuration of a play.
fn drawn_config(dice: &mut Pcg32, discovery: &Discovery, lines: &[Value], window: Duration) -> (Value, u64) {
    let mut config = config(discovery.address, lines);
    let longest_ms = 500 + below(dice, 2500);
    for profile in config["settings"]["profiles"].as_array_mut().unwrap() {
        profile["deadline_us"] = json!(longest_ms * 1000);
        profile["aim_us"] = json!(longest_ms * 800);
        profile["window_us"] = json!(window.as_micros() as u64);
    }
    config["settings"]["limits"]["cancel"] = json!(!one_in(dice, 3));
    config["settings"]["limits"]["parallel_tries"] = json!(!one_in(dice, 3));
    config["settings"]["limits"]["dial_timeout_us"] = json!(100_000);
    config["settings"]["discovery"] = json!(if one_in(dice, 2) { "automatic" } else { "subscribe" });
    config["limits"]["sockets"] = json!(96 + below(dice, 200));
    (config, longest_ms)
}

/// Something happens to the proxy.
fn trouble(play: &Play, dice: &mut Pcg32, states: &mut [(bool, u64)], crowd: &mut Vec<Client>) {
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

struct Play {
    proxy: Proxy,
    config: Value,
    faults: Faults,
    discovery: Discovery,
    backends: Vec<Backend>,
    record: Arc<Record>,
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

/// Plays a seed and returns all that was broken.
fn play(seed: u64) -> Vec<String> {
    let mut dice = Pcg32::seed_from_u64(seed);
    let window = Duration::from_millis(200 + below(&mut dice, 1000));
    let record = Arc::new(Record { window, ..Record::default() });
    let (faults, discovery) = (Faults::none(), Discovery::start());
    let backends: Vec<Backend> = (0..BACKENDS).map(|n| start_backend(n, seed, &record)).collect();
    let named = backends.iter().enumerate();
    let lines: Vec<Value> = named.map(|(n, b)| line(&format!("s{n}"), b.address, "ready", 0)).collect();
    let (config, longest_ms) = drawn_config(&mut dice, &discovery, &lines, window);
    faults.step_clock([0, 10, 3600, -3600][below(&mut dice, 4) as usize]);
    let proxy = Proxy::spawn_among(&faults, &config);
    until("ready", || proxy.ready() == 200);
    let mut play = Play { proxy, config, faults, discovery, backends, record: record.clone() };
    let (stop, next) = (AtomicBool::new(false), AtomicU64::new(seed << 32));
    let mut broken = Vec::new();
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let dice = Pcg32::seed_from_u64(seed * 1000 + client);
            let mut asker = Asker { to: play.proxy.address, dice, record: &record, next: &next, longest_ms };
            let stop = &stop;
            scope.spawn(move || asker.run(stop));
        }
        let (began, mut states, mut crowd) = (Instant::now(), [(true, 1_000_000); BACKENDS], Vec::new());
        while began.elapsed() < TROUBLE {
            std::thread::sleep(Duration::from_millis(100 + below(&mut dice, 500)));
            trouble(&play, &mut dice, &mut states, &mut crowd);
        }
        end(&play, &mut dice, longest_ms);
        stop.store(true, Ordering::SeqCst);
    });
    if play.proxy.exit().code().is_some_and(|code| code != 0) {
        broken.push("the proxy ended badly".into());
    }
    let log = play.proxy.log();
    broken.extend(log.lines().filter(|l| l.contains("ERROR") || l.contains("panicked")).map(str::to_string));
    broken.extend(judge(&record, &log));
    println!("seed {seed}: {}, {} broken", summary(&record), broken.len());
    broken
}

/// How much was played.
fn summary(record: &Record) -> String {
    let asked = record.asked.lock().unwrap();
    let count = |which: &dyn Fn(End) -> bool| asked.values().filter(|a| which(a.end)).count();
    let attempts: usize = record.attempts.lock().unwrap().values().map(Vec::len).sum();
    format!(
        "{} asked, {} served, {} refused, {} failed, {} left, {} without an answer, {attempts} attempts, {} drains",
        asked.len(),
        count(&|end| matches!(end, End::Answered(200, _))),
        count(&|end| matches!(end, End::Answered(429 | 503, _))),
        count(&|end| matches!(end, End::Answered(status, _) if !matches!(status, 200 | 429 | 503))),
        count(&|end| matches!(end, End::Left(_))),
        count(&|end| end == End::Nothing),
        record.drains.lock().unwrap().len(),
    )
}

/// Tells the proxy to end, in a trouble, and kills it as early as the platform may. Clients go on until then.
fn end(play: &Play, dice: &mut Pcg32, longest_ms: u64) {
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

/// What the rules say of a play.
fn judge(record: &Record, log: &str) -> Vec<String> {
    let (asked, attempts) = (record.asked.lock().unwrap(), record.attempts.lock().unwrap());
    let mut broken = Vec::new();
    for (id, asked) in asked.iter() {
        let none = Vec::new();
        let attempts = attempts.get(id).unwrap_or(&none);
        let faults = [lost(*id, asked, log), repeated(asked, attempts, record.window), told(asked, attempts)];
        broken.extend(
            faults.into_iter().flatten().map(|fault| format!("{fault}: {id:x} {asked:?} {attempts:?}")),
        );
    }
    for attempt in attempts.values().flatten() {
        let drains = record.drains.lock().unwrap();
        let from = |told: Instant| told + STOP_SENDING + SLACK + LATE_THREADS;
        let late = |d: &&(usize, Instant, Option<Instant>)| {
            d.0 == attempt.backend && attempt.at > from(d.1) && d.2.is_none_or(|until| attempt.at < until)
        };
        broken.extend(
            drains.iter().find(late).map(|d| format!("sent to a draining backend: {attempt:?} {d:?}")),
        );
    }
    broken
}

/// It was taken, and had no answer or one that was too late.
fn lost(id: u64, asked: &Asked, log: &str) -> Option<&'static str> {
    let field = format!(" correlation_id={id:x} ");
    let taken = || log.lines().any(|l| l.contains("request received ") && l.contains(&field));
    match asked.end {
        End::Nothing if taken() => Some("no answer"),
        End::Answered(_, at) if at > asked.sent + asked.left + ANSWER_LATEST + LATE_THREADS => {
            Some("late answer")
        }
        _ => None,
    }
}

/// It ran again, or may have run and was refused.
fn repeated(asked: &Asked, attempts: &[Attempt], window: Duration) -> Option<&'static str> {
    let ran: Vec<&Attempt> = attempts.iter().filter(|a| a.may_have_run).collect();
    let refused = matches!(asked.end, End::Answered(429 | 503, _));
    let (first, last) = (ran.first()?, attempts.last()?);
    match asked.class {
        "pay" if attempts.len() > 1 && last.at > first.at => Some("sent again after it may have run"),
        "vote" if last.at > first.at + window + SLACK + LATE_THREADS => Some("sent again after its window"),
        "pay" | "vote" if refused => Some("refused after it may have run"),
        _ => None,
    }
}

/// More time was told than was left, or an attempt began after its client had gone.
fn told(asked: &Asked, attempts: &[Attempt]) -> Option<&'static str> {
    for attempt in attempts {
        let left = asked.left.saturating_sub(attempt.at.saturating_duration_since(asked.sent));
        if attempt.left > left + TOLD_SLACK + LATE_THREADS {
            return Some("too much time told");
        }
        if let End::Left(at) = asked.end {
            if attempt.at > at + AFTER_CLOSE + SLACK + LATE_THREADS {
                return Some("sent after its client had gone");
            }
        }
    }
    None
}

/// The seeds that the environment names, or else those of every change.
fn seeds() -> std::ops::Range<u64> {
    let told = std::env::var("SOAK_SEEDS").ok();
    let range = told.and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    range.unwrap_or(SEEDS)
}

#[test]
fn no_rule_is_broken_among_all_troubles_at_once() {
    let seeds: Vec<u64> = seeds().collect();
    let mut broken = Vec::new();
    for some in seeds.chunks(AT_ONCE) {
        let plays: Vec<_> = some
            .iter()
            .map(|seed| {
                (
                    *seed,
                    std::thread::spawn({
                        let seed = *seed;
                        move || play(seed)
                    }),
                )
            })
            .collect();
        for (seed, played) in plays {
            let faults = played.join().unwrap_or_else(|_| vec!["the play itself panicked".into()]);
            broken.extend(faults.into_iter().map(|fault| format!("seed {seed}: {fault}")));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
