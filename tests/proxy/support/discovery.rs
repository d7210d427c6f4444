//! Discovery on loopback: a test decides what a call is answered with.

use crate::support::{ok, read_message, until, HeldPort, Reply};
use serde_json::{json, Value};
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct News {
    index: u64,
    /// What it does with a call that waits, or with the next.
    answer: Option<Reply>,
    /// How many calls had come when that was done last.
    told: usize,
}

/// Discovery: answers a call once there is news, or after its wait, or never.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    news: Arc<(Mutex<News>, Condvar)>,
    /// The first lines of all calls so far.
    calls: Arc<Mutex<Vec<String>>>,
}

impl Discovery {
    pub fn start() -> Discovery {
        Discovery::start_on(HeldPort::bind())
    }

    pub fn start_on(port: HeldPort) -> Discovery {
        let listener = port.listen();
        let address = listener.local_addr().unwrap();
        let discovery = Discovery { address, news: Arc::default(), calls: Arc::default() };
        let all = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = all.clone();
                std::thread::spawn(move || discovery.converse(stream));
            }
        });
        discovery
    }

    fn converse(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_message(&mut reader) {
            let path = call.start.clone();
            self.calls.lock().unwrap().push(call.start);
            let answer = self.answer(&path, &stream);
            if !answer.is_some_and(|a| a.give(&mut stream)) {
                return;
            }
        }
    }

    /// The news, or none once the call's wait is over; `None` where the proxy has given it up.
    fn answer(&self, path: &str, stream: &TcpStream) -> Option<Reply> {
        let number = |name: &str| -> Option<u64> {
            let digits = path.split_once(name)?.1;
            digits.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        };
        let end = number("wait_ms=").map(|wait| Instant::now() + Duration::from_millis(wait));
        let mut news = self.news.0.lock().unwrap();
        loop {
            stream.set_nonblocking(true).unwrap();
            let given_up = matches!(stream.peek(&mut [0]), Ok(0));
            stream.set_nonblocking(false).unwrap();
            if given_up {
                return None;
            }
            if let Some(answer) = news.answer.take() {
                news.told = self.calls();
                return Some(answer);
            }
            if end.is_some_and(|end| Instant::now() >= end) {
                let index = number("after=");
                return Some(ok(&json!({"index": index, "snapshot": false, "endpoints": []}).to_string()));
            }
            news = self.news.1.wait_timeout(news, Duration::from_millis(20)).unwrap().0;
        }
    }

    /// Tells the whole list or changes, and waits until the proxy has asked again: it holds them then.
    pub fn tell(&self, whole: bool, lines: &[Value]) {
        let index = self.news.0.lock().unwrap().index + 1;
        self.news.0.lock().unwrap().index = index;
        self.say(&json!({"index": index, "snapshot": whole, "endpoints": lines}).to_string());
    }

    /// The same, word for word.
    pub fn say(&self, body: &str) {
        self.act(ok(body));
    }

    /// Does that with a call, and waits until the proxy has asked again.
    pub fn act(&self, reply: Reply) {
        self.news.0.lock().unwrap().answer = Some(reply);
        self.news.1.notify_all();
        until("the next call of discovery", || {
            let news = self.news.0.lock().unwrap();
            news.answer.is_none() && self.calls() > news.told
        });
    }

    pub fn calls(&self) -> usize {
        self.asked().len()
    }

    /// The first lines of all calls so far.
    pub fn asked(&self) -> Vec<String> {
        self.calls.lock().unwrap().clone()
    }
}
