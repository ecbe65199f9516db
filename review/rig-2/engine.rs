//! Model replicas that take orders, and the links of the machines to them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;
use crate::store::Store;

/// What a load of an adapter takes.
const LOAD_TIME: Duration = Duration::from_millis(250);

/// The first retransmission of TCP; each further one waits twice as long.
const FIRST_RETRY: Duration = Duration::from_millis(200);

/// A partition of one machine from all replicas.
#[derive(Clone, Copy, Debug)]
struct Cut {
    to: Option<Instant>,
}

/// The links of each machine to all replicas.
#[derive(Clone)]
pub struct Links(Arc<Vec<Mutex<Option<Cut>>>>);

impl Links {
    pub fn new(machines: usize) -> Self {
        Self(Arc::new((0..machines).map(|_| Mutex::new(None)).collect()))
    }

    /// From now on channels of this machine say nothing, and new ones are refused.
    pub fn cut(&self, machine: usize) {
        *self.0[machine].lock().unwrap() = Some(Cut { to: None });
    }

    pub fn heal(&self, machine: usize) {
        if let Some(cut) = &mut *self.0[machine].lock().unwrap() {
            cut.to = Some(Instant::now());
        }
    }

    fn get(&self, machine: usize) -> Option<Cut> {
        *self.0[machine].lock().unwrap()
    }

    fn is_cut(&self, machine: usize) -> bool {
        self.get(machine).is_some_and(|cut| cut.to.is_none())
    }

    /// Holds up what was sent at `sent` as TCP does: it arrives with the first retransmission
    /// after the link has healed. Returns whether it was held up.
    fn pass(&self, machine: usize, sent: Instant) -> bool {
        if !self.is_cut(machine) {
            return false;
        }
        while self.is_cut(machine) {
            std::thread::sleep(Duration::from_millis(5));
        }
        let healed = self.get(machine).and_then(|cut| cut.to);
        let healed = healed.unwrap_or_else(Instant::now);
        let (mut retry, mut at) = (FIRST_RETRY, sent);
        while at < healed {
            at += retry;
            retry *= 2;
        }
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        true
    }
}

/// An order that reached a replica.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub token: u64,
    pub status: u16,
    /// Whether it changed what the replica holds.
    pub done: bool,
    /// Since when it was held up, and how its channel had ended by then.
    pub held: Option<(Instant, &'static str)>,
}

/// A consumer's request that was held up on its way to a replica.
#[derive(Clone, Debug)]
pub struct HeldRequest {
    pub id: String,
    pub sent: Instant,
    pub arrived: Instant,
    pub channel: &'static str,
}

#[derive(Default)]
struct State {
    held: Vec<HeldRequest>,
    /// When each adapter is there.
    adapters: BTreeMap<String, Instant>,
    sequence: u64,
    orders: Vec<Order>,
}

pub struct Engine {
    pub id: String,
    links: Links,
    state: Mutex<State>,
}

impl Engine {
    /// Starts a replica that checks no fences and registers it.
    pub fn start(store: &Store, links: &Links, number: usize) -> std::io::Result<Arc<Self>> {
        let engine = Arc::new(Self {
            id: format!("e-{number:08x}"),
            links: links.clone(),
            state: Mutex::default(),
        });
        let mut addresses = Vec::new();
        for machine in 0..store.addresses.len() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?.to_string());
            let engine = engine.clone();
            std::thread::spawn(move || engine.listen(listener, machine));
        }
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"{{{}}}\",\"zone\":\"z-{}\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"base\",\"version\":1,\"adapters\":[]}}],\"sequence\":1}}",
            addresses.join("|"),
            number % 3
        );
        store.put("servers", &engine.id, &entry);
        Ok(engine)
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn held_requests(&self) -> Vec<HeldRequest> {
        self.state.lock().unwrap().held.clone()
    }

    fn listen(self: Arc<Self>, listener: TcpListener, machine: usize) {
        let Ok(address) = listener.local_addr() else {
            return;
        };
        let mut listener = Some(listener);
        loop {
            if self.links.is_cut(machine) {
                // New channels are refused.
                listener = None;
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(open) = &listener else {
                continue;
            };
            open.set_nonblocking(true).ok();
            match open.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    let engine = self.clone();
                    std::thread::spawn(move || engine.serve(stream, machine));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream, machine: usize) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::whole_body(&mut reader, &head) else {
                return;
            };
            let sent = Instant::now();
            let mut held = None;
            if self.links.pass(machine, sent) {
                // A channel that its sender has reset brings nothing.
                match channel_end(&mut reader) {
                    Some(end) => held = Some((sent, end)),
                    None => return,
                }
            }
            let body = String::from_utf8_lossy(&body);
            let answer = self.answer(&head, &body, held, machine, &mut writer);
            if answer.is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        head: &Head,
        body: &str,
        held: Option<(Instant, &'static str)>,
        machine: usize,
        to: &mut TcpStream,
    ) -> std::io::Result<()> {
        let mut reply = |bytes: &[u8]| {
            // What a cut link holds up is not sent here: its channel is given up by then.
            if self.links.is_cut(machine) {
                return Err(std::io::Error::other("cut"));
            }
            to.write_all(bytes)
        };
        let mut more = vec![("Keep-Alive", "timeout=10")];
        if head.get("expect-instance").is_some_and(|i| i != self.id) {
            more.push(("Instance-Id", &self.id));
            return reply(&http::response(421, &more, ""));
        }
        match head.word(1) {
            "/banyangauge/report" => reply(&http::response(200, &more, &self.report())),
            "/banyangauge/order" => {
                let status = self.order(body, held);
                reply(&http::response(status, &more, "{}"))
            }
            _ => {
                let id = head.get("attempt-id").unwrap_or_default().to_owned();
                if let Some((sent, channel)) = held {
                    let request = HeldRequest {
                        id: id.clone(),
                        sent,
                        arrived: Instant::now(),
                        channel,
                    };
                    self.state.lock().unwrap().held.push(request);
                }
                let model = head.get("model").unwrap_or_default();
                let adapter = model.split_once('/').map(|(_, a)| a);
                let now = Instant::now();
                let holds = |a: &str| {
                    let state = self.state.lock().unwrap();
                    state.adapters.get(a).is_some_and(|at| *at <= now)
                };
                if adapter.is_some_and(|a| !holds(a)) {
                    more.extend([("Instance-Id", self.id.as_str()), ("Attempt-Id", &id)]);
                    return reply(&http::response(421, &more, ""));
                }
                reply(
                    format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: {id}\r\n\
                         Response-Signature: by.{}\r\nTransfer-Encoding: chunked\r\n\r\n",
                        self.id
                    )
                    .as_bytes(),
                )?;
                for number in 1..=3 {
                    std::thread::sleep(Duration::from_millis(20));
                    let event = format!("id: {number}\ndata: piece\n\n");
                    reply(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                reply(b"0\r\n\r\n")
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let list = |there: bool| {
            let named = state
                .adapters
                .iter()
                .filter(|(_, at)| (**at <= now) == there);
            let named = named.map(|(a, _)| match there {
                true => format!("\"{a}@1\""),
                false => format!("\"base/{a}@1\""),
            });
            named.collect::<Vec<_>>().join(",")
        };
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"base\",\"version\":1,\
             \"adapters\":[{}]}}],\"busy\":false,\"sequence\":{},\"queued\":0,\"running\":0,\
             \"kvUsed\":0,\"kvTotal\":232000,\"handles\":0,\"coming\":[{}]}}",
            list(true),
            state.sequence,
            list(false)
        )
    }

    fn order(&self, body: &str, held: Option<(Instant, &'static str)>) -> u16 {
        let text = |name: &str| {
            let rest = body.split_once(&format!("\"{name}\":\""))?.1;
            rest.split('"').next().map(str::to_owned)
        };
        let number = |name: &str| {
            let rest = body.split_once(&format!("\"{name}\":"))?.1;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let at = Instant::now();
        let mut state = self.state.lock().unwrap();
        let before = state.sequence;
        let status = match text("adapter") {
            None => 200,
            Some(adapter) => {
                let there = state.adapters.get(&adapter).copied();
                let load = text("operation").as_deref() == Some("load");
                match (load, there) {
                    (true, Some(since)) => {
                        if since <= at {
                            200
                        } else {
                            202
                        }
                    }
                    (false, None) => 200,
                    _ if number("expected") != Some(state.sequence) => 409,
                    (true, None) => {
                        state.sequence += 1;
                        state.adapters.insert(adapter, at + LOAD_TIME);
                        202
                    }
                    (false, Some(_)) => {
                        state.sequence += 1;
                        state.adapters.remove(&adapter);
                        200
                    }
                }
            }
        };
        let done = state.sequence > before;
        state.orders.push(Order {
            at,
            done,
            holder: text("holder").unwrap_or_default(),
            token: number("fencingToken").unwrap_or(0),
            status,
            held,
        });
        status
    }
}

/// Returns how the sender has ended a channel; `None` if it reset it.
fn channel_end(from: &mut BufReader<TcpStream>) -> Option<&'static str> {
    let stream = from.get_mut();
    stream
        .set_read_timeout(Some(Duration::from_millis(20)))
        .ok();
    let mut byte = [0];
    let end = match stream.read(&mut byte) {
        Ok(0) => Some("closed without a reset"),
        Ok(_) => Some("still open"),
        Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => None,
        Err(_) => Some("still open"),
    };
    stream.set_read_timeout(None).ok();
    end
}
