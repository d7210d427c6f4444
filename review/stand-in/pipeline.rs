//! A client sends many requests at once on one connection. Each of them must get its final answer.

use crate::backend::{self, Behaviour};
use crate::http::{read_message, request};
use crate::platform::{Discovery, Failure, Folder, Proxy, Record, SIGTERM};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const BACKENDS: usize = 9;
/// Half a second, and the 50 ms that PROTOCOL adds to every time limit.
const SLACK: Duration = Duration::from_millis(550);

struct Deployment {
    proxy: Proxy,
    _folder: Folder,
}

fn deploy(record: &Record) -> Result<Deployment, Failure> {
    let folder = Folder::create()?;
    let backends = backend::start(BACKENDS, Behaviour::SOUND, record)?;
    let discovery = Discovery::start(&backends.addresses)?;
    let proxy = Proxy::start(&folder, &discovery, 0, 1, 256)?;
    Ok(Deployment { proxy, _folder: folder })
}

/// What became of a request.
#[derive(Clone, PartialEq)]
enum End {
    Answered { status: u16, after: Duration },
    /// The proxy closed or reset the connection.
    Closed { after: Duration },
    /// No answer at the end of the client's patience.
    Nothing,
}

struct Plan {
    class: &'static str,
    body: Option<String>,
    count: usize,
    time_left_ms: u64,
    /// Whether all requests are sent at once rather than each after the answer to the one before.
    at_once: bool,
    /// Time for the proxy to read requests that are sent at once.
    reading_time: Duration,
    /// Whether the proxy gets SIGTERM then.
    terminate: bool,
}

fn play(deployment: &Deployment, plan: &Plan, record: &Record) -> Result<Vec<End>, Failure> {
    let stream = TcpStream::connect(deployment.proxy.address)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let id = |number: usize| format!("{:016x}", 0x51c2_0000_0000_0000_u64 + number as u64);
    let text = |number: usize| request(plan.class, &id(number), plan.time_left_ms, plan.body.as_deref());
    let patience = Duration::from_millis(plan.time_left_ms) + SLACK;
    let (mut began, mut unread) = (Instant::now(), 0);
    if plan.at_once {
        let all: String = (0..plan.count).map(text).collect();
        let (bytes, mut writing) = (all.len(), stream.try_clone()?);
        let written = std::thread::spawn(move || writing.write_all(all.as_bytes()).map(|()| Instant::now()));
        let at = written.join().map_err(|_| "the writing client panicked")??;
        record.line(&format!("client sent {} requests ({bytes} bytes) in {:?}", plan.count, at - began));
        std::thread::sleep(plan.reading_time);
        unread = unread_bytes(&stream, deployment)?;
        record.line(&format!("bytes that the proxy has not read from this connection: {unread}"));
        if plan.terminate {
            record.line("SIGTERM to the proxy");
            deployment.proxy.signal(SIGTERM);
        }
    }
    let mut ends = Vec::new();
    for number in 0..plan.count {
        if !plan.at_once {
            began = Instant::now();
            (&stream).write_all(text(number).as_bytes())?;
        }
        // The client keeps reading after its time, so that the record shows what the proxy does.
        stream.set_read_timeout(Some(patience + Duration::from_secs(3)))?;
        let end = match read_message(&mut reader) {
            Ok(Some(response)) => End::Answered { status: response.status(), after: began.elapsed() },
            Ok(None) => End::Closed { after: began.elapsed() },
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => End::Nothing,
            Err(_) => End::Closed { after: began.elapsed() },
        };
        record.line(&match &end {
            End::Answered { status, after } => format!("{}: {status} after {after:?}", id(number)),
            End::Closed { after } => format!("{}: connection closed without an answer after {after:?}", id(number)),
            End::Nothing => format!("{}: nothing", id(number)),
        });
        ends.push(end);
    }
    let is_answered = |end: &End| matches!(end, End::Answered { .. });
    if unread > 0 && !ends.iter().all(is_answered) {
        return Err("the proxy had not read all requests, and it may close a connection before that".into());
    }
    Ok(ends)
}

/// Bytes that the proxy has not read from the client's connection, from the system's table of sockets.
fn unread_bytes(stream: &TcpStream, deployment: &Deployment) -> Result<u64, Failure> {
    let suffix = |port: u16| format!(":{port:04X}");
    let (proxy, client) = (suffix(deployment.proxy.address.port()), suffix(stream.local_addr()?.port()));
    let table = std::fs::read_to_string("/proc/net/tcp")?;
    let queues = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_this = fields.get(1)?.ends_with(&proxy) && fields.get(2)?.ends_with(&client);
        is_this.then(|| fields.get(4).map(|queues| queues.to_string()))?
    });
    let queues = queues.ok_or("the proxy's socket is not in the table of sockets")?;
    let unread = queues.split_once(':').ok_or("unknown form of the table of sockets")?.1;
    Ok(u64::from_str_radix(unread, 16)?)
}

fn judge(ends: &[End], patience: Duration, record: &Record) -> bool {
    let late = |end: &&End| matches!(end, End::Answered { after, .. } if *after > patience);
    let late = ends.iter().filter(late).count();
    let closed = ends.iter().filter(|end| matches!(end, End::Closed { .. } | End::Nothing)).count();
    let answered = ends.len() - late - closed;
    record.say(&format!(
        "{} requests: {answered} answered within their time and 0.55 s, {late} later, {closed} never",
        ends.len()
    ));
    late + closed == 0
}

fn run_plan(record: &Record, plan: &Plan) -> Result<bool, Failure> {
    let deployment = deploy(record)?;
    let ends = play(&deployment, plan, record)?;
    Ok(judge(&ends, Duration::from_millis(plan.time_left_ms) + SLACK, record))
}

pub fn run_late(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let plan = Plan {
        class: "quote-read",
        body: None,
        count: 40,
        time_left_ms: 1200,
        at_once: trouble,
        reading_time: Duration::from_millis(40),
        terminate: false,
    };
    run_plan(record, &plan)
}

pub fn run_long(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let plan = Plan {
        class: "alert-set",
        body: Some("x".repeat(12_000)),
        count: 24,
        time_left_ms: 4000,
        at_once: trouble,
        reading_time: Duration::from_millis(40),
        terminate: false,
    };
    run_plan(record, &plan)
}

pub fn run_term(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let plan = Plan {
        class: "alert-set",
        body: Some("{\"symbol\":\"XYZ\"}".into()),
        count: 8,
        time_left_ms: 4000,
        at_once: true,
        reading_time: Duration::from_millis(100),
        terminate: trouble,
    };
    run_plan(record, &plan)
}
