//! Replicas that are processes of their own, so that a crash is a SIGKILL. Their answers have
//! neither a length nor chunks and end with their channels.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::http;
use crate::store::Store;
use crate::world;

/// Pieces of an answer, and the pause before each.
const PIECES: u64 = 8;
const PAUSE: Duration = Duration::from_millis(60);

/// Returns the piece of the answer to a request.
fn piece(path: &str, id: &str, number: u64) -> String {
    match path.starts_with("/ask/") {
        true => format!("id: {number}\ndata: {id}\n\n"),
        false => format!("piece {number} of {id}\n"),
    }
}

/// Returns the whole body of the answer to a request.
pub fn whole(path: &str, id: &str) -> String {
    (1..=PIECES).map(|number| piece(path, id, number)).collect()
}

/// One start of a replica.
pub struct Running {
    pub id: String,
    pub pid: u32,
}

/// Starts a replica as a process and registers it.
pub fn start(store: &Store, number: u64) -> std::io::Result<Running> {
    let id = format!("p-{number:08x}");
    let free = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let child = Command::new(std::env::current_exe()?)
        .args(["replica", &id, &free.to_string()])
        .stdin(Stdio::null())
        .spawn()?;
    let pid = child.id();
    world::adopt(child);
    while TcpStream::connect(free).is_err() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let entry = format!(
        "{{\"service\":\"app\",\"address\":\"{free}\",\"zone\":\"z-{}\",\"version\":\"v1\",\
         \"slots\":16,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
         \"models\":[],\"sequence\":1}}",
        number % 3
    );
    store.put("servers", &id, &entry);
    Ok(Running { id, pid })
}

/// Serves as a replica until the process is killed.
pub fn serve(id: &str, address: &str) {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return;
    };
    let Ok(listener) = TcpListener::bind(address) else {
        return;
    };
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        std::thread::spawn(move || answer(&id, stream));
    }
}

fn answer(id: &str, stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader).ok()??;
    http::read_body(&mut reader, &head, |_| {}).ok()?;
    if head.get("expect-instance").is_some_and(|i| i != id) {
        let close = [("Instance-Id", id), ("Connection", "close")];
        writer.write_all(&http::response(421, &close, "")).ok()?;
        return None;
    }
    let (path, attempt) = (head.word(1), head.get("attempt-id").unwrap_or_default());
    let kind = match path.starts_with("/ask/") {
        true => "text/event-stream",
        false => "text/plain",
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: {kind}\r\n\
         Attempt-Id: {attempt}\r\nResponse-Signature: by.{id}\r\n\r\n"
    );
    writer.write_all(text.as_bytes()).ok()?;
    for number in 1..=PIECES {
        std::thread::sleep(PAUSE);
        writer
            .write_all(piece(path, attempt, number).as_bytes())
            .ok()?;
    }
    Some(())
}
