//! Consumers.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Head;

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Opens a channel; a consumer allows one second for it.
pub fn connect(to: SocketAddr, timeout_ms: u64) -> Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(timeout_ms.max(1))))?;
    stream.set_write_timeout(Some(Duration::from_millis(timeout_ms.max(1))))?;
    Ok(stream)
}

/// Sends bytes on a channel of its own and reads the answer.
pub fn exchange(to: SocketAddr, request: &[u8], timeout_ms: u64) -> Result<Answer> {
    let mut stream = connect(to, timeout_ms)?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads an answer.
pub fn read_answer(from: &mut BufReader<TcpStream>) -> Result<Answer> {
    let head = http::read_head(from)?;
    let head = head.ok_or_else(|| std::io::Error::other("closed without an answer"))?;
    let body = http::whole_body(from, &head)?;
    Ok(Answer { head, body })
}

/// Returns the bytes of a request; `more` are further header lines, each with its end.
pub fn request(method: &str, path: &str, id: &str, more: &str, body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n");
    text.push_str(more);
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// What came of a stream.
#[derive(Clone, Debug, Default)]
pub struct Streamed {
    /// Status; 0 without an answer.
    pub status: u16,
    pub retry_after: Option<f64>,
    /// The last event that came.
    pub last: Option<u64>,
    /// Whether the answer was complete.
    pub complete: bool,
}

/// Reads a stream of events, each with a number; `on_event` says whether to go on.
pub fn stream(
    to: SocketAddr,
    request: &[u8],
    timeout_ms: u64,
    mut on_event: impl FnMut(u64) -> bool,
) -> Streamed {
    let mut seen = Streamed::default();
    let mut read = || -> Result<()> {
        let mut stream = connect(to, timeout_ms)?;
        stream.write_all(request)?;
        let mut from = BufReader::new(stream);
        let head = http::read_head(&mut from)?;
        let head = head.ok_or_else(|| std::io::Error::other("closed"))?;
        seen.status = head.status();
        seen.retry_after = head.get("retry-after").and_then(|r| r.parse().ok());
        if seen.status != 200 {
            return Ok(());
        }
        let mut text = Vec::new();
        loop {
            let mut size = String::new();
            from.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| std::io::Error::other("cut"))?;
            let mut piece = vec![0; size + 2];
            from.read_exact(&mut piece)?;
            if size == 0 {
                seen.complete = true;
                return Ok(());
            }
            text.extend_from_slice(&piece[..size]);
            while let Some(end) = text.windows(2).position(|w| w == b"\n\n") {
                let event: Vec<u8> = text.drain(..end + 2).collect();
                let event = String::from_utf8_lossy(&event).into_owned();
                let id = event.lines().find_map(|l| l.strip_prefix("id:"));
                let Some(id) = id.and_then(|id| id.trim().parse().ok()) else {
                    continue;
                };
                seen.last = Some(id);
                if !on_event(id) {
                    return Ok(());
                }
            }
        }
    };
    read().ok();
    seen
}
