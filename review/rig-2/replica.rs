//! Replicas. Each start is a boot with an id and an address of its own.

use std::collections::VecDeque;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Head;
use crate::store::Store;

/// Three check-in intervals of 1.2 s: after this silence the store removes an entry.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_600);

static BOOTS: AtomicU64 = AtomicU64::new(0);

/// How the crash of a replica looks to those that have channels to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crash {
    /// The process ends: its channels are closed.
    Process,
    /// The same in the middle of an answer without a length, which ends with its channel.
    Unframed,
    /// The machine loses power: its channels say nothing any more.
    Power,
}

/// What a replica is like.
#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue: usize,
    /// What a request takes.
    pub work: Duration,
    /// Events of a stream, and the pause before each; 0 for plain answers.
    pub events: u64,
    /// Requests with this path crash the replica that runs them, so long after they began.
    pub deadly: Option<(&'static str, Duration, Crash)>,
    /// How long it is away after a crash.
    pub away: Duration,
}

/// What a brittle replica says, and how many may wait from then on.
#[derive(Clone, Copy, Debug)]
pub struct Brittle {
    pub most: usize,
    pub queue: usize,
    pub queue_from: Instant,
}

/// Something that happened at a replica.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub replica: String,
    pub what: What,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum What {
    /// It began to run a request.
    Ran(String),
    /// It ran a request to its end.
    Done(String),
    /// It turned a request away.
    Rejected(String),
    /// It crashed, with so many requests at work or waiting.
    Crashed(usize),
    /// It was back.
    Back,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
    rejected: VecDeque<Instant>,
    ended: bool,
}

struct Boot {
    id: String,
    address: SocketAddr,
    load: Mutex<Load>,
    freed: Condvar,
    channels: Mutex<Vec<TcpStream>>,
}

/// The replicas of a run.
pub struct Replicas {
    store: Store,
    kind: Kind,
    zone: String,
    pub events: Arc<Mutex<Vec<Event>>>,
    brittle: Arc<Mutex<Option<Brittle>>>,
}

impl Replicas {
    /// Starts `count` replicas; each that crashes is started again.
    pub fn start(store: &Store, kind: &Kind, count: usize) -> std::io::Result<Vec<Arc<Self>>> {
        let events = Arc::default();
        let brittle = Arc::default();
        let mut all = Vec::new();
        for i in 0..count {
            let place = Arc::new(Self {
                store: store.clone(),
                kind: kind.clone(),
                zone: format!("z-{}", i % 3),
                events: Arc::clone(&events),
                brittle: Arc::clone(&brittle),
            });
            place.boot()?;
            all.push(place);
        }
        Ok(all)
    }

    /// From now on all replicas say that they are brittle; `None` ends it.
    pub fn set_brittle(&self, brittle: Option<Brittle>) {
        *self.brittle.lock().unwrap() = brittle;
    }

    fn note(&self, boot: &Boot, what: What) {
        self.events.lock().unwrap().push(Event {
            at: Instant::now(),
            replica: boot.id.clone(),
            what,
        });
    }

    fn boot(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let number = BOOTS.fetch_add(1, Ordering::Relaxed);
        let boot = Arc::new(Boot {
            id: format!("i-{number:08x}"),
            address: listener.local_addr()?,
            load: Mutex::default(),
            freed: Condvar::new(),
            channels: Mutex::default(),
        });
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{}],\"sequence\":1}}",
            self.kind.service,
            boot.address,
            self.zone,
            self.kind.slots,
            models(),
        );
        self.store.put("servers", &boot.id, &entry);
        self.note(&boot, What::Back);
        let place = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if boot.load.lock().unwrap().ended {
                    // New channels are refused from now on.
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    boot.channels.lock().unwrap().push(copy);
                }
                let (place, boot) = (place.clone(), boot.clone());
                std::thread::spawn(move || place.serve(&boot, stream));
            }
        });
        Ok(())
    }

    /// Ends a boot with all that it runs, and starts the next one later.
    fn crash(self: &Arc<Self>, boot: &Arc<Boot>, how: Crash) {
        let lost = {
            let mut load = boot.load.lock().unwrap();
            if std::mem::replace(&mut load.ended, true) {
                return;
            }
            load.running + load.waiting
        };
        self.note(boot, What::Crashed(lost));
        boot.freed.notify_all();
        let channels = std::mem::take(&mut *boot.channels.lock().unwrap());
        match how {
            Crash::Process | Crash::Unframed => channels.iter().for_each(|c| {
                c.shutdown(Shutdown::Both).ok();
            }),
            // They stay open, and nothing is read or written any more.
            Crash::Power => std::mem::forget(channels),
        }
        // Wakes the listener, which ends.
        TcpStream::connect(boot.address).ok();
        let (place, id) = (self.clone(), boot.id.clone());
        std::thread::spawn(move || {
            std::thread::sleep(place.kind.away);
            place.boot().ok();
            std::thread::sleep(ENTRY_EXPIRY.saturating_sub(place.kind.away));
            place.store.remove("servers", &id);
        });
    }

    fn serve(self: &Arc<Self>, boot: &Arc<Boot>, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &head, |_| {}).is_err() {
                return;
            }
            if boot.load.lock().unwrap().ended || !self.answer(boot, &head, &mut writer) {
                // A machine without power says nothing: its channels are kept elsewhere.
                return;
            }
        }
    }

    /// Answers a request; returns whether the channel goes on.
    fn answer(self: &Arc<Self>, boot: &Arc<Boot>, head: &Head, to: &mut TcpStream) -> bool {
        let said = self.brittle.lock().unwrap().map(|b| b.most.to_string());
        let mut more = vec![("Keep-Alive", "timeout=10")];
        if let Some(said) = &said {
            more.push(("Server-Brittle", said));
        }
        let expected = head.get("expect-instance");
        if expected.is_some_and(|i| i != boot.id) {
            more.push(("Instance-Id", &boot.id));
            return to.write_all(&http::response(421, &more, "")).is_ok();
        }
        let path = head.word(1);
        if path == "/banyangauge/report" {
            let report = format!(
                "{{\"stage\":\"both\",\"models\":[{}],\"busy\":false,\"sequence\":0,\
                 \"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0}}",
                models()
            );
            return to.write_all(&http::response(200, &more, &report)).is_ok();
        }
        if path == "/banyangauge/order" {
            return to.write_all(&http::response(200, &more, "{}")).is_ok();
        }
        let id = head.get("attempt-id").unwrap_or_default().to_owned();
        if !self.admit(boot) {
            self.note(boot, What::Rejected(id.clone()));
            more.extend([("Not-Executed", "1"), ("Attempt-Id", &id)]);
            let sent = to.write_all(&http::response(503, &more, "")).is_ok();
            if self.falls(boot) {
                self.crash(boot, Crash::Process);
                return false;
            }
            return sent;
        }
        if boot.load.lock().unwrap().ended {
            return false;
        }
        self.note(boot, What::Ran(id.clone()));
        if let Some((deadly, after, how)) = self.kind.deadly
            && path == deadly
        {
            if how == Crash::Unframed {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: {id}\r\n\
                     Response-Signature: by.{}\r\n\r\nthe first part",
                    boot.id
                );
                to.write_all(head.as_bytes()).ok();
            }
            std::thread::sleep(after);
            self.crash(boot, how);
            return false;
        }
        let signature = format!("by.{}", boot.id);
        more.extend([
            ("Attempt-Id", id.as_str()),
            ("Response-Signature", &signature),
        ]);
        let sent = match self.kind.events {
            0 => {
                std::thread::sleep(self.kind.work);
                !boot.load.lock().unwrap().ended
                    && to.write_all(&http::response(200, &more, &id)).is_ok()
            }
            last => {
                let from = head.get("last-event-id").and_then(|l| l.parse().ok());
                self.stream(boot, &more, from.unwrap_or(0), last, to)
            }
        };
        if sent {
            self.note(boot, What::Done(id));
        }
        boot.load.lock().unwrap().running -= 1;
        boot.freed.notify_one();
        sent
    }

    fn stream(
        &self,
        boot: &Boot,
        headers: &[(&str, &str)],
        from: u64,
        last: u64,
        to: &mut TcpStream,
    ) -> bool {
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        head.push_str("Transfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        if to.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in from + 1..=last {
            std::thread::sleep(self.kind.work);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if boot.load.lock().unwrap().ended || to.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        to.write_all(b"0\r\n\r\n").is_ok()
    }

    /// Takes a slot, or waits for one; returns `false` for want of room.
    fn admit(&self, boot: &Boot) -> bool {
        let brittle = *self.brittle.lock().unwrap();
        let brittle = brittle.filter(|b| Instant::now() >= b.queue_from);
        let queue = brittle.map_or(self.kind.queue, |b| b.queue);
        let mut load = boot.load.lock().unwrap();
        if load.running >= self.kind.slots {
            if load.waiting >= queue {
                return false;
            }
            load.waiting += 1;
            while load.running >= self.kind.slots && !load.ended {
                load = boot.freed.wait(load).unwrap();
            }
            load.waiting -= 1;
        }
        load.running += 1;
        true
    }

    /// Counts a request that was turned away; returns whether a brittle replica falls over.
    fn falls(&self, boot: &Boot) -> bool {
        let now = Instant::now();
        let mut load = boot.load.lock().unwrap();
        load.rejected.push_back(now);
        while load
            .rejected
            .front()
            .is_some_and(|at| now - *at > Duration::from_secs(1))
        {
            load.rejected.pop_front();
        }
        let brittle = *self.brittle.lock().unwrap();
        brittle.is_some_and(|b| now >= b.queue_from && load.rejected.len() > b.most)
    }
}

fn models() -> &'static str {
    "{\"name\":\"base\",\"version\":1,\"adapters\":[]}"
}
