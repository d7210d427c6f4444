//! Waits until real proxies are ready.

use super::processes::{ProxyProcesses, StartedProxy};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Interval at which a proxy is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Request to a proxy's readiness endpoint.
const READINESS_REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
/// Length of the HTTP version and the status code at the start of a response, in bytes.
const STATUS_LENGTH: usize = 12;

/// Returns the time from start to readiness of each proxy, or `None` if it was not ready within `limit`.
pub(super) async fn wait_until_ready(proxies: &ProxyProcesses, limit: Duration) -> Vec<Option<Duration>> {
    let mut tasks = Vec::new();
    for proxy in proxies.started_proxies() {
        tasks.push(tokio::task::spawn_local(time_to_ready(proxy, limit)));
    }
    let mut time_to_ready = Vec::new();
    for task in tasks {
        time_to_ready.push(task.await.ok().flatten());
    }
    time_to_ready
}

async fn time_to_ready(proxy: StartedProxy, limit: Duration) -> Option<Duration> {
    let poll = async {
        while !is_ready(proxy.address).await {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(limit, poll).await.ok()?;
    Some(proxy.started_at.elapsed())
}

async fn is_ready(address: SocketAddr) -> bool {
    let status_line = query_readiness(address).await;
    status_line.is_ok_and(|status_line| status_line.ends_with(b" 200"))
}

async fn query_readiness(address: SocketAddr) -> io::Result<[u8; STATUS_LENGTH]> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(READINESS_REQUEST).await?;
    let mut status_line = [0; STATUS_LENGTH];
    stream.read_exact(&mut status_line).await?;
    Ok(status_line)
}
