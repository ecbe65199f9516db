//! The platform's store: lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;

type Key = (String, String);

struct Change {
    revision: u64,
    key: Key,
    object: String,
    removed: bool,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<Key, (u64, String)>,
    log: Vec<Change>,
    revision: u64,
}

/// The store; clones are the same one.
///
/// It has an address for each machine. An entry may hold an address for each of them,
/// `"address":"{A|B|C}"`: a machine reads its own, so that each has links of its own to replicas.
#[derive(Clone)]
pub struct Store {
    pub addresses: Vec<SocketAddr>,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// Machines at most.
const VIEWS: usize = 3;

/// Returns the text as the machine with this number reads it.
fn view(text: &str, machine: usize) -> String {
    const MARK: &str = "\"address\":\"{";
    let mut parts = text.split(MARK);
    let mut seen = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (all, rest) = part.split_once('}').unwrap_or((part, ""));
        let own = all.split('|').nth(machine).unwrap_or_default();
        seen.push_str(&format!("\"address\":\"{own}{rest}"));
    }
    seen
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl State {
    fn write(&mut self, key: Key, spec: &str) -> String {
        self.revision += 1;
        let text = object(&key.1, self.revision, spec);
        self.objects
            .insert(key.clone(), (self.revision, spec.to_owned()));
        self.log.push(Change {
            revision: self.revision,
            key,
            object: text.clone(),
            removed: false,
        });
        text
    }

    fn remove(&mut self, key: &Key) -> bool {
        let Some((_, spec)) = self.objects.remove(key) else {
            return false;
        };
        self.revision += 1;
        self.log.push(Change {
            revision: self.revision,
            key: key.clone(),
            object: object(&key.1, self.revision, &spec),
            removed: true,
        });
        true
    }
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let mut store = Self {
            addresses: Vec::new(),
            shared: Arc::default(),
        };
        for machine in 0..VIEWS {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            store.addresses.push(listener.local_addr()?);
            let serving = store.clone();
            std::thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let store = serving.clone();
                    std::thread::spawn(move || store.serve(stream, machine));
                }
            });
        }
        Ok(store)
    }

    /// Writes an object as the operator or a replica does; returns when that is acknowledged.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.write((kind.to_owned(), name.to_owned()), spec);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.remove(&(kind.to_owned(), name.to_owned()));
        self.shared.1.notify_all();
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
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, text) = self.answer(&head, &body);
            let text = view(&text, machine);
            let answer = http::response(status, &[("Store-Era", "1")], &text);
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &str) -> (u16, String) {
        let path = head.word(1).strip_prefix("/banyangauge/objects/");
        let (path, query) = path
            .unwrap_or_default()
            .split_once('?')
            .unwrap_or((path.unwrap_or_default(), ""));
        let field = |key: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
            None => (path.to_owned(), None),
        };
        match (head.word(0), name) {
            ("GET", None) => match field("watch").and_then(|w| w.parse().ok()) {
                Some(from) => {
                    let wait = field("waitMs").and_then(|w| w.parse().ok());
                    (200, self.watch(&kind, from, wait.unwrap_or(0)))
                }
                None => (200, self.list(&kind)),
            },
            ("POST", None) => {
                let mut state = self.shared.0.lock().unwrap();
                let key = (kind, text_after(body, "\"name\":\""));
                if let Some((revision, spec)) = state.objects.get(&key) {
                    return (409, object(&key.1, *revision, spec));
                }
                let text = state.write(key, spec_of(body));
                self.shared.1.notify_all();
                (200, text)
            }
            ("PUT", Some(name)) => {
                let mut state = self.shared.0.lock().unwrap();
                let key = (kind, name);
                let Some((revision, spec)) = state.objects.get(&key) else {
                    return (404, "null".to_owned());
                };
                let asked = body.split("\"spec\":").next().unwrap_or_default();
                let asked = asked.split_once("\"revision\":").map(|(_, r)| number(r));
                if asked.is_some_and(|asked| asked != *revision) {
                    return (409, object(&key.1, *revision, spec));
                }
                let text = state.write(key, spec_of(body));
                self.shared.1.notify_all();
                (200, text)
            }
            ("DELETE", Some(name)) => {
                let mut state = self.shared.0.lock().unwrap();
                let found = state.remove(&(kind, name));
                self.shared.1.notify_all();
                (if found { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "null".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let ours = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<_> = ours
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"hasMore\":false,\"asOf\":{revision}}}")
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let new = state
                .log
                .iter()
                .filter(|c| c.revision > from && c.key.0 == kind);
            let events: Vec<_> = new
                .map(|c| format!("{{\"object\":{},\"tombstone\":{}}}", c.object, c.removed))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"asOf\":{revision}}}");
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// The system writes `metadata` before `spec`, and `spec` last.
fn spec_of(body: &str) -> &str {
    let spec = body.split_once("\"spec\":").map_or("null}", |(_, s)| s);
    spec.trim_end().strip_suffix('}').unwrap_or("null")
}

fn text_after(body: &str, mark: &str) -> String {
    let rest = body.split_once(mark).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn number(text: &str) -> u64 {
    let digits: String = text.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
