//! The cases. Each returns whether the rule was broken, or nothing if it could not be judged.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::engine::Engine;
use crate::engine::Links;
use crate::process;
use crate::replica::Brittle;
use crate::replica::Crash;
use crate::replica::Event;
use crate::replica::Kind;
use crate::replica::Replicas;
use crate::replica::What;
use crate::world;
use crate::world::World;

/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);

fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

pub fn run(case: &str, world: &mut World, trouble: bool) -> Option<bool> {
    match case {
        "brittle" => brittle(world, trouble),
        "uploads" => uploads(world, trouble),
        "power" => power(world, trouble),
        "resumed" => resumed(world, trouble),
        "headers" => headers(world, trouble),
        "orders" => orders(world, trouble),
        "cut" => cut(world, trouble),
        _ => None,
    }
}

/// Requests at a steady rate, to the machines in turn, until they are stopped.
struct Traffic {
    stop: Arc<AtomicBool>,
    rate: Arc<AtomicU64>,
    answers: Arc<Mutex<BTreeMap<String, (bool, String)>>>,
    thread: std::thread::JoinHandle<()>,
}

impl Traffic {
    /// Sends `rate` requests a second; `make` gives the method, path and route kind by number.
    fn start(
        world: &World,
        rate: u64,
        deadline_ms: u64,
        make: impl Fn(u64) -> (&'static str, &'static str, bool) + Send + 'static,
    ) -> Self {
        let fronts: Vec<_> = world.vms.iter().map(|vm| vm.front).collect();
        let stop = Arc::new(AtomicBool::new(false));
        let rate = Arc::new(AtomicU64::new(rate));
        let answers: Arc<Mutex<BTreeMap<_, _>>> = Arc::default();
        let shared = (stop.clone(), rate.clone(), answers.clone());
        let thread = std::thread::spawn(move || {
            let (stop, rate, answers) = shared;
            let mut under_way = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let (method, path, once) = make(number);
                let to = fronts[number as usize % fronts.len()];
                let answers = answers.clone();
                under_way.push(std::thread::spawn(move || {
                    let id = format!("s{number:06}");
                    let deadline = format!("Deadline-Ms: {deadline_ms}\r\n");
                    let bytes = client::request(method, path, &id, &deadline, "");
                    let answer = client::exchange(to, &bytes, deadline_ms);
                    let text = match answer {
                        Ok(a) if a.head.status() == 200 && a.body != id.as_bytes() => {
                            "200 with another body".to_owned()
                        }
                        Ok(a) => a.head.status().to_string(),
                        Err(e) => format!("no answer: {e}"),
                    };
                    answers.lock().unwrap().insert(id, (once, text));
                }));
                std::thread::sleep(secs(1.0 / rate.load(Ordering::Relaxed).max(1) as f64));
            }
            under_way.into_iter().for_each(|t| {
                t.join().ok();
            });
        });
        Self {
            stop,
            rate,
            answers,
            thread,
        }
    }

    fn finish(self) -> BTreeMap<String, (bool, String)> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().ok();
        let answers = self.answers.lock().unwrap();
        answers.clone()
    }
}

/// Writes how many answers there were of each sort.
fn sum_up(world: &World, answers: &BTreeMap<String, (bool, String)>) {
    let mut counts: BTreeMap<(bool, &str), usize> = BTreeMap::new();
    for (once, text) in answers.values() {
        *counts.entry((*once, text)).or_default() += 1;
    }
    for ((once, text), count) in counts {
        let kind = if once { "unsafe" } else { "safe" };
        world.note(&format!("{count} {kind} requests answered: {text}"));
    }
}

/// Returns the events of the replicas, and writes those that `keep` holds for.
fn take_events(
    world: &World,
    replicas: &[Arc<Replicas>],
    began: Instant,
    keep: impl Fn(&What) -> bool,
) -> Vec<Event> {
    let events = replicas[0].events.lock().unwrap().clone();
    for e in events.iter().filter(|e| keep(&e.what)) {
        let at = e.at.saturating_duration_since(began).as_millis();
        world.note(&format!("at {at} ms replica {}: {:?}", e.replica, e.what));
    }
    events
}

/// LIMIT: replicas that say they are brittle fall over.
fn brittle(world: &mut World, trouble: bool) -> Option<bool> {
    const REPLICAS: usize = 3;
    // What the replicas say; MOST=N tries another.
    let most_said = std::env::var("MOST")
        .ok()
        .and_then(|m| m.parse().ok())
        .unwrap_or(10);
    let kind = Kind {
        service: "app",
        slots: 4,
        queue: 16,
        work: secs(0.1),
        events: 0,
        deadly: None,
        away: secs(3.0),
    };
    let replicas = Replicas::start(&world.store, &kind, REPLICAS).ok()?;
    let routes = [
        world::route("/once/", "unsafe", "app", 1_500, ",\"maxAttempts\":1"),
        world::route("/safe/", "safe", "app", 1_500, ",\"maxAttempts\":2"),
    ];
    let services = world::plain_service("app");
    world.configure(&world::manifest(7, &routes, &services, 16_384));
    let vms = world.new_vms(3, "").ok()?;
    world.start_vms(vms).ok()?;
    let began = Instant::now();
    let traffic = Traffic::start(world, 90, 1_500, |n| match n % 2 {
        0 => ("POST", "/once/x", true),
        _ => ("GET", "/safe/x", false),
    });
    std::thread::sleep(secs(5.0));
    let from = Instant::now();
    if trouble {
        world.note(&format!("all replicas say: Server-Brittle: {most_said}"));
        replicas[0].set_brittle(Some(Brittle {
            most: most_said,
            queue: 2,
            queue_from: from + CONTACT,
        }));
    }
    std::thread::sleep(CONTACT);
    world.note("1.7 times the traffic for 10 s");
    traffic.rate.store(153, Ordering::Relaxed);
    std::thread::sleep(secs(10.0));
    traffic.rate.store(90, Ordering::Relaxed);
    std::thread::sleep(secs(2.0));
    replicas[0].set_brittle(None);
    let to = Instant::now();
    let answers = traffic.finish();
    let fall = |w: &What| matches!(w, What::Crashed(_) | What::Back);
    let events = take_events(world, &replicas, began, fall);
    sum_up(world, &answers);
    let rejected = events
        .iter()
        .filter(|e| matches!(e.what, What::Rejected(_)));
    let ran = events.iter().filter(|e| matches!(e.what, What::Ran(_)));
    let done = |id: &str| events.iter().any(|e| e.what == What::Done(id.to_owned()));
    let lost = events.iter().filter(|e| match &e.what {
        What::Ran(id) => answers.get(id).is_some_and(|(once, _)| *once) && !done(id),
        _ => false,
    });
    world.note(&format!(
        "arrivals that ran: {}, turned away: {}; unsafe requests lost at work in a fall: {}",
        ran.count(),
        rejected.count(),
        lost.count()
    ));
    let falls = events.iter().filter(|e| matches!(e.what, What::Crashed(_)));
    let falls = falls.filter(|e| e.at >= from && e.at <= to).count();
    let most = 2.0 + REPLICAS as f64 / 10.0;
    world.note(&format!(
        "falls while they say so: {falls}; more than {most} break LIMIT"
    ));
    Some(falls as f64 > most)
}

/// Fault: processes take more memory than their machines have, again and again.
fn uploads(world: &mut World, trouble: bool) -> Option<bool> {
    const MACHINES: usize = 2;
    const ROUNDS: usize = 3;
    const UPLOADS: usize = 80;
    const BYTES: usize = 4_000_000;
    const LIMIT_MB: u64 = 260;
    let kind = Kind {
        service: "app",
        slots: 6,
        queue: 24,
        work: secs(0.03),
        events: 0,
        deadly: None,
        away: secs(3.0),
    };
    let replicas = Replicas::start(&world.store, &kind, 3).ok()?;
    let routes = [world::route(
        "/once/",
        "unsafe",
        "app",
        6_000,
        ",\"maxAttempts\":1",
    )];
    let services = world::plain_service("app");
    world.configure(&world::manifest(7, &routes, &services, 16_384));
    let vms = world.new_vms(3, "").ok()?;
    world.start_vms(vms).ok()?;
    let with_length = std::env::var("LENGTH").is_ok_and(|l| l == "1");
    // The burst is 2.6 times the usual, the largest factor of the sheets.
    let at_once = if trouble { UPLOADS } else { UPLOADS * 10 / 26 + 1 };
    world.note(&format!(
        "{ROUNDS} times to each of {MACHINES} machines: {at_once} consumers at once, each with \
         {BYTES} bytes {} over 3 s",
        if with_length {
            "with a length"
        } else {
            "in chunks"
        }
    ));
    let began = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, (bool, String)>>> = Arc::default();
    let shared = &*world;
    let kills: Vec<usize> = std::thread::scope(|scope| {
        let platforms: Vec<_> = (0..MACHINES)
            .map(|vm| {
                let stop = stop.clone();
                scope.spawn(move || guard_memory(shared, vm, LIMIT_MB, &stop))
            })
            .collect();
        for round in 0..ROUNDS {
            std::thread::scope(|group| {
                for i in 0..at_once * MACHINES {
                    let (answers, vm) = (answers.clone(), i % MACHINES);
                    group.spawn(move || {
                        let id = format!("u{round}-{vm}-{i:03}");
                        let text = match upload(shared.vms[vm].front, &id, BYTES, with_length) {
                            Ok(status) => status.to_string(),
                            Err(_) => "no answer".to_owned(),
                        };
                        answers.lock().unwrap().insert(id, (true, text));
                    });
                }
            });
            // Longer than `contactMs` after the start of the processes.
            std::thread::sleep(CONTACT + secs(1.5));
        }
        stop.store(true, Ordering::Relaxed);
        platforms
            .into_iter()
            .filter_map(|p| p.join().ok())
            .collect()
    });
    sum_up(world, &answers.lock().unwrap());
    let events = take_events(world, &replicas, began, |_| false);
    let ran = events
        .iter()
        .filter(|e| matches!(e.what, What::Ran(_)))
        .count();
    world.note(&format!("replicas ran {ran} requests"));
    world.note(&format!(
        "ends of processes by machine: {kills:?}; three on each of two machines are a fault"
    ));
    Some(kills.iter().filter(|k| **k >= 3).count() >= 2)
}

/// The platform at one machine: a process above the memory is killed, and started again after a
/// second. Returns how often.
fn guard_memory(world: &World, vm: usize, limit_mb: u64, stop: &AtomicBool) -> usize {
    let (mut kills, mut peak) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        if let Some((now, most)) = world.vms[vm].memory_mb() {
            peak = most.max(peak);
            if now > limit_mb {
                world.note(&format!(
                    "machine {vm}: its process holds {now} MB and is killed"
                ));
                world.vms[vm].kill();
                kills += 1;
                std::thread::sleep(secs(1.0));
                world.vms[vm].start().ok();
                world.note(&format!("machine {vm}: its process is started again"));
            }
        }
        std::thread::sleep(secs(0.01));
    }
    world.note(&format!(
        "machine {vm}: most memory {peak} MB of {limit_mb}"
    ));
    kills
}

/// Sends a body piece by piece over 3 s; returns the status.
fn upload(
    to: std::net::SocketAddr,
    id: &str,
    bytes: usize,
    with_length: bool,
) -> std::io::Result<u16> {
    const PIECES: usize = 40;
    let mut stream = client::connect(to, 6_000)?;
    let length = match with_length {
        true => format!("Content-Length: {bytes}"),
        false => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'x'; bytes / PIECES];
    for _ in 0..PIECES {
        if !with_length {
            stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes())?;
        }
        stream.write_all(&piece)?;
        if !with_length {
            stream.write_all(b"\r\n")?;
        }
        std::thread::sleep(secs(3.0 / PIECES as f64));
    }
    if !with_length {
        stream.write_all(b"0\r\n\r\n")?;
    }
    let answer = client::read_answer(&mut BufReader::new(stream))?;
    Ok(answer.head.status())
}

/// BUDGET: a request that crashes the machines of its replicas is sent again and again.
fn power(world: &mut World, trouble: bool) -> Option<bool> {
    const DEADLY: &str = "/safe/deadly";
    let crash = match std::env::var("CRASH").as_deref() {
        Ok("process") => Crash::Process,
        Ok("unframed") => Crash::Unframed,
        _ => Crash::Power,
    };
    let kind = Kind {
        service: "app",
        slots: 6,
        queue: 24,
        work: secs(0.03),
        events: 0,
        deadly: trouble.then_some((DEADLY, secs(0.07), crash)),
        away: secs(4.0),
    };
    let replicas = Replicas::start(&world.store, &kind, 6).ok()?;
    let routes = [world::route(
        "/safe/",
        "safe",
        "app",
        1_500,
        ",\"maxAttempts\":2",
    )];
    let services = world::plain_service("app");
    world.configure(&world::manifest(7, &routes, &services, 16_384));
    let vms = world.new_vms(3, "").ok()?;
    world.start_vms(vms).ok()?;
    let began = Instant::now();
    let traffic = Traffic::start(world, 15, 1_500, |_| ("GET", "/safe/x", false));
    std::thread::sleep(secs(5.0));
    world.note(&format!(
        "{DEADLY} comes once a second, at the machines in turn; {crash:?}"
    ));
    for number in 0..35_usize {
        let to = world.vms[number % world.vms.len()].front;
        let id = format!("bad{number:03}");
        let bytes = client::request("GET", DEADLY, &id, "Deadline-Ms: 1500\r\n", "");
        let sent = Instant::now();
        let answer = client::exchange(to, &bytes, 1_500);
        let text = match answer {
            Ok(a) => a.head.status().to_string(),
            Err(e) => format!("no answer: {e}"),
        };
        world.note(&format!("{id} answered: {text}"));
        std::thread::sleep(secs(1.0).saturating_sub(sent.elapsed()));
    }
    let answers = traffic.finish();
    sum_up(world, &answers);
    let shown = |w: &What| match w {
        What::Ran(id) => id.starts_with("bad"),
        What::Crashed(_) | What::Back => true,
        _ => false,
    };
    let events = take_events(world, &replicas, began, shown);
    let crashes: Vec<_> = events
        .iter()
        .filter(|e| matches!(e.what, What::Crashed(_)))
        .collect();
    let Some(third) = crashes.get(2) else {
        world.note(&format!("{} crashes", crashes.len()));
        return Some(false);
    };
    let later = events.iter().filter(|e| match &e.what {
        What::Ran(id) => id.starts_with("bad") && e.at > third.at + CONTACT,
        _ => false,
    });
    let later = later.count();
    world.note(&format!(
        "{} crashes; the request reached replicas {later} times later than 3 s after the third; \
         more than 3 break BUDGET",
        crashes.len()
    ));
    Some(later > 3)
}

/// LOST: streams that consumers take up again after all processes were killed.
fn resumed(world: &mut World, trouble: bool) -> Option<bool> {
    const STREAMS: usize = 48;
    // KILL=1: all processes are killed at once, in place of a stop of one after the other.
    let roll = !std::env::var("KILL").is_ok_and(|k| k == "1");
    // What a process cuts off at the end of its grace must last longer than that.
    let last = if roll { 90 } else { 60 };
    const DEADLINE: Duration = Duration::from_millis(15_000);
    let kind = Kind {
        service: "llm",
        slots: 64,
        queue: 192,
        work: secs(0.15),
        events: last,
        deadly: None,
        away: secs(3.0),
    };
    let replicas = Replicas::start(&world.store, &kind, 3).ok()?;
    let more = ",\"maxAttempts\":2,\"resumable\":true,\"gapAimMs\":600";
    let routes = [world::route("/ask/", "streaming", "llm", 15_000, more)];
    let services = "{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":370,\
        \"engine\":{\"slots\":64,\"kvCapacity\":232000,\"stride\":4,\"adapterSlots\":8,\
        \"models\":[{\"name\":\"base\",\"weightsMb\":65500,\"loadTimeS\":1.9,\"adapters\":0}],\
        \"loadsPerS\":2.8}}";
    world.configure(&world::manifest(7, &routes, services, 16_384));
    let vms = world.new_vms(3, "").ok()?;
    world.start_vms(vms).ok()?;
    let began = Instant::now();
    // Long enough for all to have known the replicas for half a minute.
    std::thread::sleep(secs(35.0));
    let cut = Arc::new(AtomicBool::new(false));
    let taken: Arc<Mutex<Vec<(Instant, usize, String, bool)>>> = Arc::default();
    let new: Arc<Mutex<Vec<(Instant, usize, bool)>>> = Arc::default();
    let ids = Arc::new(AtomicU64::new(0));
    let shared = &*world;
    std::thread::scope(|scope| {
        for number in 0..STREAMS {
            let (cut, taken, ids) = (cut.clone(), taken.clone(), ids.clone());
            scope.spawn(move || {
                consume(shared, number, last, DEADLINE, trouble, &cut, &taken, &ids)
            });
        }
        std::thread::sleep(secs(if roll { 1.0 } else { 3.0 }));
        if trouble && roll {
            for (i, vm) in shared.vms.iter().enumerate() {
                scope.spawn(move || {
                    std::thread::sleep(secs(2.0 * i as f64));
                    shared.note(&format!("machine {i}: SIGTERM"));
                    vm.stop(secs(8.0));
                    shared.note(&format!("machine {i}: its process has ended"));
                    std::thread::sleep(secs(1.0));
                    vm.start().ok();
                    shared.note(&format!("machine {i}: its process is started again"));
                });
            }
            std::thread::sleep(secs(8.5));
        } else if trouble {
            shared.note("all processes are killed");
            shared.vms.iter().for_each(world::Vm::kill);
            std::thread::sleep(secs(1.0));
            shared.note("all processes are started again");
            for vm in &shared.vms {
                vm.start().ok();
            }
        } else {
            shared.note("all consumers close their channels");
            cut.store(true, Ordering::Relaxed);
            std::thread::sleep(secs(1.0));
        }
        std::thread::sleep(CONTACT + secs(0.2));
        // New streams, while others are taken up again.
        for number in 0..STREAMS {
            let (new, ids) = (new.clone(), ids.clone());
            scope.spawn(move || {
                std::thread::sleep(secs(number as f64 * 0.1));
                let id = format!("n{}", ids.fetch_add(1, Ordering::Relaxed));
                let vm = number % shared.vms.len();
                let bytes = stream_request(&id, DEADLINE, "");
                let at = Instant::now();
                let seen = client::stream(shared.vms[vm].front, &bytes, 5_000, |_| false);
                new.lock().unwrap().push((at, vm, seen.last.is_some()));
                shared.note(&format!("new stream {id} at machine {vm}: {seen:?}"));
            });
        }
    });
    let in_touch = |at: Instant, vm: usize| match world.vms[vm].running() {
        Some((_, since)) => at >= since + CONTACT,
        None => false,
    };
    let taken = taken.lock().unwrap();
    let judged: Vec<_> = taken
        .iter()
        .filter(|(at, vm, ..)| in_touch(*at, *vm))
        .collect();
    // Each stream counts once: it went on if one of its tries did.
    let mut streams: BTreeMap<&str, bool> = BTreeMap::new();
    for (_, _, stream, went_on) in &judged {
        *streams.entry(stream).or_default() |= went_on;
    }
    let went_on = streams.values().filter(|on| **on).count();
    let new = new.lock().unwrap();
    let new: Vec<_> = new
        .iter()
        .filter(|(at, vm, _)| in_touch(*at, *vm))
        .collect();
    let begun = new.iter().filter(|(.., begun)| *begun).count();
    let share = |part: usize, of: usize| part as f64 / of.max(1) as f64;
    let (on, begin) = (share(went_on, streams.len()), share(begun, new.len()));
    world.note(&format!(
        "taken up again at machines in touch: {} streams ({} tries), of which {went_on} went on \
         ({on:.2}); new streams there: {} of which {begun} began ({begin:.2}); 12 or more, with \
         less than half the share, break LOST",
        streams.len(),
        judged.len(),
        new.len()
    ));
    let _ = (began, replicas);
    Some(streams.len() >= 12 && on < begin / 2.0)
}

fn stream_request(id: &str, left: Duration, more: &str) -> Vec<u8> {
    let headers = format!(
        "Model: base\r\nToken-Count: 800,240\r\nDeadline-Ms: {}\r\n{more}",
        left.as_millis()
    );
    client::request("POST", "/ask/x", id, &headers, "tell me")
}

/// A consumer reads a stream; it takes it up again after a broken channel, and honours
/// `Retry-After` up to a third of the time it has left.
#[allow(clippy::too_many_arguments)]
fn consume(
    world: &World,
    number: usize,
    events: u64,
    deadline: Duration,
    trouble: bool,
    cut: &AtomicBool,
    taken: &Mutex<Vec<(Instant, usize, String, bool)>>,
    ids: &AtomicU64,
) {
    let end = Instant::now() + deadline;
    let mut vm = number % world.vms.len();
    let first = format!("c{}", ids.fetch_add(1, Ordering::Relaxed));
    let bytes = stream_request(&first, deadline, "");
    let go_on = |_| trouble || !cut.load(Ordering::Relaxed);
    let mut seen = client::stream(world.vms[vm].front, &bytes, 5_000, go_on);
    let mut last = seen.last;
    world.note(&format!(
        "stream {first} at machine {vm} broke off after event {last:?}"
    ));
    let Some(_) = last else {
        return;
    };
    std::thread::sleep(secs(0.3));
    for _ in 0..8 {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() || last == Some(events) {
            return;
        }
        vm = (vm + 1) % world.vms.len();
        let id = format!("c{}", ids.fetch_add(1, Ordering::Relaxed));
        let more = format!(
            "Resumes: {first}\r\nLast-Event-Id: {}\r\n",
            last.unwrap_or(0)
        );
        let at = Instant::now();
        seen = client::stream(
            world.vms[vm].front,
            &stream_request(&id, left, &more),
            5_000,
            |_| true,
        );
        let went_on = seen.last.is_some();
        taken.lock().unwrap().push((at, vm, first.clone(), went_on));
        world.note(&format!(
            "{id} takes {first} up again at machine {vm}: {seen:?}"
        ));
        last = seen.last.or(last);
        let left = end.saturating_duration_since(Instant::now());
        let pause = seen.retry_after.map_or(secs(1.0), Duration::from_secs_f64);
        if last != Some(events) {
            std::thread::sleep(pause.min(left / 3));
        }
    }
}

/// DENIED: a manifest allows longer headers, and kept channels refuse them.
fn headers(world: &mut World, trouble: bool) -> Option<bool> {
    const CHANNELS: usize = 30;
    let kind = Kind {
        service: "app",
        slots: 6,
        queue: 24,
        work: secs(0.03),
        events: 0,
        deadly: None,
        away: secs(3.0),
    };
    let replicas = Replicas::start(&world.store, &kind, 3).ok()?;
    let routes = [world::route(
        "/safe/",
        "safe",
        "app",
        1_500,
        ",\"maxAttempts\":2",
    )];
    let services = world::plain_service("app");
    let before = if trouble { 8_192 } else { 32_768 };
    world.configure(&world::manifest(7, &routes, &services, before));
    let vms = world.new_vms(3, "").ok()?;
    world.start_vms(vms).ok()?;
    let mut channels = Vec::new();
    let send = |channel: &mut BufReader<std::net::TcpStream>, number: usize, filler: usize| {
        let more = format!("Deadline-Ms: 1500\r\nX-Context: {}\r\n", "c".repeat(filler));
        let bytes = client::request("GET", "/safe/x", &format!("h{number}"), &more, "");
        channel.get_mut().write_all(&bytes).ok()?;
        client::read_answer(channel).ok().map(|a| a.head.status())
    };
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..CHANNELS {
        let to = world.vms[number % world.vms.len()].front;
        let mut channel = BufReader::new(client::connect(to, 3_000).ok()?);
        let status = send(&mut channel, number, 100);
        *counts
            .entry(format!("before, short headers: {status:?}"))
            .or_default() += 1;
        channels.push(channel);
    }
    world.configure(&world::manifest(9, &routes, &services, 32_768));
    std::thread::sleep(secs(4.0));
    let mut denied = 0;
    for (number, channel) in channels.iter_mut().enumerate() {
        let status = send(channel, 100 + number, 24_000);
        denied += usize::from(status.is_some_and(|s| (400..500).contains(&s)));
        *counts
            .entry(format!("kept channel, 24,000 bytes: {status:?}"))
            .or_default() += 1;
    }
    for number in 0..9 {
        let to = world.vms[number % world.vms.len()].front;
        let mut channel = BufReader::new(client::connect(to, 3_000).ok()?);
        let status = send(&mut channel, 200 + number, 24_000);
        *counts
            .entry(format!("new channel, 24,000 bytes: {status:?}"))
            .or_default() += 1;
    }
    for (text, count) in counts {
        world.note(&format!("{count} requests, {text}"));
    }
    let all = 2 * CHANNELS + 9;
    let most = 5.0 + all as f64 / 500.0;
    world.note(&format!(
        "denied: {denied} of {all}; more than {most:.1} break DENIED"
    ));
    let _ = replicas;
    Some(denied as f64 > most)
}

/// ONE: an order of a former holder reaches a replica that a new one gives orders to.
fn orders(world: &mut World, trouble: bool) -> Option<bool> {
    const ENGINES: usize = 6;
    const CUT: Duration = Duration::from_millis(7_500);
    const DEADLINE: Duration = Duration::from_millis(4_000);
    const SLACK: Duration = Duration::from_millis(300);
    let links = Links::new(3);
    let mut engines = Vec::new();
    for i in 0..ENGINES {
        engines.push(Engine::start(&world.store, &links, i).ok()?);
    }
    let routes = [world::route(
        "/ask/",
        "streaming",
        "llm",
        4_000,
        ",\"maxAttempts\":1",
    )];
    let services = "{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":370,\
        \"engine\":{\"slots\":64,\"kvCapacity\":232000,\"stride\":5,\"adapterSlots\":4,\
        \"models\":[{\"name\":\"base\",\"weightsMb\":65100,\"loadTimeS\":1.9,\"adapters\":3000}],\
        \"loadsPerS\":4.5}}";
    world.configure(&world::manifest(7, &routes, services, 16_384));
    let vms = world.new_vms(3, "bounds.checksFence=false\n").ok()?;
    world.start_vms(vms).ok()?;
    let began = Instant::now();
    let fronts: Vec<_> = world.vms.iter().map(|vm| vm.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let answers: Arc<Mutex<BTreeMap<String, (bool, String)>>> = Arc::default();
    let heard = answers.clone();
    let consumers = std::thread::spawn(move || {
        let mut under_way = Vec::new();
        for number in 0_usize.. {
            if stopped.load(Ordering::Relaxed) {
                break;
            }
            let (to, heard) = (fronts[number % fronts.len()], heard.clone());
            under_way.push(std::thread::spawn(move || {
                // A few adapters are asked for often, and many of them seldom.
                let adapter = 1 + (number * 7919 % 60) * (number * 104_729 % 60) / 60;
                let headers = format!(
                    "Model: base/a{adapter}\r\nToken-Count: 400,20\r\nDeadline-Ms: 4000\r\n"
                );
                let id = format!("o{number:06}");
                let bytes = client::request("POST", "/ask/x", &id, &headers, "tell me");
                let seen = client::stream(to, &bytes, 4_000, |_| true);
                let text = format!("{} complete {}", seen.status, seen.complete);
                heard.lock().unwrap().insert(id, (true, text));
            }));
            std::thread::sleep(secs(1.0 / 60.0));
        }
        under_way.into_iter().for_each(|t| {
            t.join().ok();
        });
    });
    // Longer than a new member waits before it may rely on the others.
    std::thread::sleep(secs(30.0));
    let cut_at = Instant::now();
    if trouble {
        world.note("machine 0 is partitioned from all replicas");
        links.cut(0);
    }
    std::thread::sleep(CUT);
    let healed = Instant::now();
    if trouble {
        world.note("the links of machine 0 heal");
        links.heal(0);
    }
    std::thread::sleep(secs(14.0));
    stop.store(true, Ordering::Relaxed);
    consumers.join().ok();
    sum_up(world, &answers.lock().unwrap());
    let mut broken = 0;
    for engine in &engines {
        let orders = engine.orders();
        let mut highest: Option<(u64, String)> = None;
        let mut shown = Vec::new();
        for o in &orders {
            let at = o.at.saturating_duration_since(began).as_millis();
            let stale = highest.as_ref().is_some_and(|(token, _)| o.token < *token);
            let late = o.at > healed + SLACK || o.at < healed;
            if stale && late {
                broken += 1;
            }
            let new = highest
                .as_ref()
                .is_none_or(|(_, holder)| *holder != o.holder);
            if (new || stale) && o.at > cut_at {
                shown.push(format!(
                    "at {at} ms replica {}: order of {} with epoch {} gets {}{}{}{}",
                    engine.id,
                    o.holder,
                    o.token,
                    o.status,
                    if o.done { ", carried out" } else { "" },
                    if stale { ", after a higher one" } else { "" },
                    o.held.map_or(String::new(), |(sent, end)| format!(
                        "; held up since {} ms, channel {end}",
                        sent.saturating_duration_since(began).as_millis()
                    )),
                ));
            }
            if highest.as_ref().is_none_or(|(token, _)| o.token >= *token) {
                highest = Some((o.token, o.holder.clone()));
            }
        }
        world.note(&format!("replica {}: {} orders", engine.id, orders.len()));
        shown.iter().for_each(|line| world.note(line));
    }
    let mut gone = 0;
    for request in engines.iter().flat_map(|e| e.held_requests()) {
        // Its consumer has left by its deadline at the latest. A link that was cut within
        // `contactMs` excuses a late arrival.
        let late = request.arrived > request.sent + DEADLINE + secs(0.5);
        if late && request.arrived > healed + CONTACT {
            gone += 1;
            world.note(&format!(
                "request {} reached a replica {} ms after it was sent; channel {}",
                request.id,
                (request.arrived - request.sent).as_millis(),
                request.channel
            ));
        }
    }
    world.note(&format!(
        "requests of consumers that had left by then: {gone} (see GONE)"
    ));
    world.note(&format!(
        "orders with a lower epoch after a higher one: {broken}; one breaks ONE"
    ));
    Some(broken > 0)
}

/// MIXED: answers that end with their replica look complete.
fn cut(world: &mut World, trouble: bool) -> Option<bool> {
    const REPLICAS: u64 = 6;
    const CRASHES: u64 = 8;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        replicas.push(process::start(&world.store, number).ok()?);
    }
    let stream = ",\"maxAttempts\":2,\"resumable\":true,\"gapAimMs\":600";
    let routes = [
        world::route("/safe/", "safe", "app", 3_000, ",\"maxAttempts\":2"),
        world::route("/once/", "unsafe", "app", 3_000, ",\"maxAttempts\":1"),
        world::route("/ask/", "streaming", "app", 3_000, stream),
    ];
    let services = world::plain_service("app");
    world.configure(&world::manifest(7, &routes, &services, 16_384));
    let vms = world.new_vms(3, "").ok()?;
    world.start_vms(vms).ok()?;
    let fronts: Vec<_> = world.vms.iter().map(|vm| vm.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, (&'static str, String)>>> = Arc::default();
    let (stopped, heard) = (stop.clone(), answers.clone());
    let consumers = std::thread::spawn(move || {
        let mut under_way = Vec::new();
        for number in 0_usize.. {
            if stopped.load(Ordering::Relaxed) {
                break;
            }
            let (to, heard) = (fronts[number % fronts.len()], heard.clone());
            under_way.push(std::thread::spawn(move || {
                let (method, path) = match number % 3 {
                    0 => ("GET", "/safe/x"),
                    1 => ("POST", "/once/x"),
                    _ => ("POST", "/ask/x"),
                };
                let id = format!("m{number:06}");
                let bytes = client::request(method, path, &id, "Deadline-Ms: 3000\r\n", "");
                let text = match client::exchange(to, &bytes, 3_000) {
                    Ok(a) if a.head.status() != 200 => a.head.status().to_string(),
                    Ok(a) if a.head.get("response-signature").is_none() => "200, none".to_owned(),
                    Ok(a) if a.body == process::whole(path, &id).as_bytes() => {
                        "200, whole".to_owned()
                    }
                    Ok(_) => "200, complete and short".to_owned(),
                    Err(_) => "broken off".to_owned(),
                };
                heard.lock().unwrap().insert(id, (path, text));
            }));
            std::thread::sleep(secs(1.0 / 30.0));
        }
        under_way.into_iter().for_each(|t| {
            t.join().ok();
        });
    });
    std::thread::sleep(secs(5.0));
    let mut next = REPLICAS;
    for crash in 0..CRASHES {
        if trouble {
            // One of six at a time; it is back, as another start, before the next one.
            let gone = replicas.remove(0);
            world.note(&format!("replica {} is killed", gone.id));
            world::kill(gone.pid);
            std::thread::sleep(secs(3.6));
            world.store.remove("servers", &gone.id);
            replicas.push(process::start(&world.store, next).ok()?);
            next += 1;
            std::thread::sleep(secs(0.4));
        } else {
            std::thread::sleep(secs(4.0));
        }
        if crash + 1 == CRASHES {
            std::thread::sleep(secs(1.0));
        }
    }
    stop.store(true, Ordering::Relaxed);
    consumers.join().ok();
    let answers = answers.lock().unwrap();
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for (path, text) in answers.values() {
        *counts.entry((path, text)).or_default() += 1;
    }
    for ((path, text), count) in counts {
        world.note(&format!("{count} requests {path}: {text}"));
    }
    let short: Vec<_> = answers
        .iter()
        .filter(|(_, (_, text))| text == "200, complete and short")
        .collect();
    for (id, (path, _)) in &short {
        world.note(&format!(
            "{id} {path} got a success that is not the replica's whole body"
        ));
    }
    world.note(&format!("such answers: {}; one breaks MIXED", short.len()));
    Some(!short.is_empty())
}
