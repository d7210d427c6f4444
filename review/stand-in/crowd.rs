//! Many bad clients stop in the middle of a request and stay. A good client on a new connection must get its
//! final answer in time, or its connection shut unread.

use crate::backend::{self, Behaviour};
use crate::http::{read_message, request};
use crate::platform::{Discovery, Failure, Folder, Proxy, Record};
use std::io::{BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const BACKENDS: usize = 9;
/// The descriptors of the proxy; the bad clients would fill them.
const DESCRIPTORS: usize = 256;
const BAD_CLIENTS: usize = DESCRIPTORS;
const GOOD_CLIENTS: usize = 20;
/// A third try of a quote-read: its tries share 1.2 s, and each takes about a third of what is left.
const TIME_LEFT_MS: u64 = 200;
/// A final answer that comes later than this after the request's time is lost: half a second, and the 50 ms that
/// PROTOCOL adds to every time limit.
const SLACK: Duration = Duration::from_millis(550);

pub fn run(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let folder = Folder::create()?;
    let backends = backend::start(BACKENDS, Behaviour::SOUND, record)?;
    let discovery = Discovery::start(&backends.addresses)?;
    let proxy = Proxy::start(&folder, &discovery, 0, 1, DESCRIPTORS)?;
    let mut bad = Vec::new(); // kept open to the end: they stay
    if trouble {
        for _ in 0..BAD_CLIENTS {
            let mut stream = TcpStream::connect(proxy.address)?;
            stream.write_all(b"GET /quote-read HTTP/1.1\r\nHost: back")?;
            bad.push(stream);
        }
        record.line(&format!("{BAD_CLIENTS} bad clients have sent half a request each and stay"));
    }
    let clients: Vec<_> = (0..GOOD_CLIENTS)
        .map(|number| {
            let (address, record) = (proxy.address, record.clone());
            std::thread::spawn(move || -> std::io::Result<bool> {
                let id = format!("{:016x}", 0x77aa_0000_0000_0000_u64 + number as u64);
                let mut stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?;
                let text = request("quote-read", &id, TIME_LEFT_MS, None);
                stream.write_all(text.replace("Host:", "X-Repeat: 1\r\nHost:").as_bytes())?;
                let sent = Instant::now();
                record.line(&format!("client sends quote-read {id} with {TIME_LEFT_MS} ms left"));
                let patience = Duration::from_millis(TIME_LEFT_MS) + SLACK;
                stream.set_read_timeout(Some(patience))?;
                let answer = read_message(&mut BufReader::new(stream));
                let after = sent.elapsed();
                // A new connection that is shut unread is allowed.
                let (text, is_kept) = match &answer {
                    Ok(Some(response)) => (response.status().to_string(), after <= patience),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        ("nothing, and leaves".to_string(), false)
                    }
                    Ok(None) | Err(_) => ("its connection shut without an answer".to_string(), true),
                };
                record.line(&format!("client of {id} gets {text} after {after:?}"));
                Ok(is_kept)
            })
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        lost += usize::from(!client.join().map_err(|_| "a client panicked")??);
    }
    record.say(&format!(
        "{GOOD_CLIENTS} good requests: {lost} without any answer 0.55 s after their time was over"
    ));
    drop(bad);
    Ok(lost == 0)
}
