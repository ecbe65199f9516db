//! A stand-in of the platform's store, by PROTOCOL.md.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use super::http;
use super::json::Json;

/// `platform.historyS`: how long changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    kind: String,
    object: Json,
    removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    log: Vec<Change>,
    /// The last revision that the history lacks.
    forgotten: u64,
}

impl State {
    /// Drops the changes that are older than the history.
    fn forget(&mut self) {
        let old = self.log.iter().take_while(|c| c.at.elapsed() > HISTORY);
        let old = old.count();
        if let Some(last) = self.log.drain(..old).next_back() {
            self.forgotten = last.revision;
        }
    }
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::default(),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).unwrap();
        self.write(kind, name, spec);
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let change = Change {
            at: Instant::now(),
            revision: state.revision,
            kind: kind.to_owned(),
            object,
            removed: true,
        };
        state.log.push(change);
        changed.notify_all();
        true
    }

    /// The names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        let names = state.objects.keys().filter(|(k, _)| k == kind);
        names.map(|(_, name)| name.clone()).collect()
    }

    fn write(&self, kind: &str, name: &str, spec: Json) -> Json {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let text = format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}",
            Json::Text(name.to_owned())
        );
        let object = Json::parse(&text).unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, object.clone());
        state.log.push(Change {
            at: Instant::now(),
            revision,
            kind: kind.to_owned(),
            object: object.clone(),
            removed: false,
        });
        changed.notify_all();
        object
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head) else {
                return;
            };
            let (status, answer) = self.answer(&head.line, &body);
            let json = [("content-type", "application/json".to_owned())];
            if http::write_answer(&mut writer, status, &json, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, line: &str, body: &[u8]) -> (u16, String) {
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/banyangauge/objects/").unwrap_or("");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let field = |key: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, value)| value)
        };
        let body = Json::parse(std::str::from_utf8(body).unwrap_or("")).unwrap_or(Json::Null);
        let meta = body.get("metadata");
        let number = |key| field(key).and_then(|f| f.parse::<u64>().ok());
        match (method, name) {
            ("GET", None) => match number("watch") {
                Some(from) => self.watch(kind, from, number("waitMs").unwrap_or(0)),
                None => (200, self.list(kind, field("after"))),
            },
            ("POST", None) => {
                let name = meta.get("name").text().unwrap_or_default();
                match self.find(kind, name) {
                    Some(old) => (409, old.to_string()),
                    None => (
                        200,
                        self.write(kind, name, body.get("spec").clone()).to_string(),
                    ),
                }
            }
            ("PUT", Some(name)) => match self.find(kind, name) {
                None => (404, "null".to_owned()),
                Some(old) => {
                    let wanted = meta.get("revision");
                    let differs = *wanted != Json::Null
                        && wanted.number() != old.get("metadata").get("revision").number();
                    match differs {
                        true => (409, old.to_string()),
                        false => (
                            200,
                            self.write(kind, name, body.get("spec").clone()).to_string(),
                        ),
                    }
                }
            },
            ("DELETE", Some(name)) => match self.remove(kind, name) {
                true => (200, "{}".to_owned()),
                false => (404, "null".to_owned()),
            },
            _ => (400, "null".to_owned()),
        }
    }

    fn find(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.shared.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.get(&key).cloned()
    }

    fn list(&self, kind: &str, after: Option<&str>) -> String {
        let state = self.shared.0.lock().unwrap();
        let items = state.objects.iter().filter(|((k, name), _)| {
            k == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let items: Vec<_> = items.map(|(_, object)| object.to_string()).collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        loop {
            state.forget();
            if from < state.forgotten {
                return (410, "null".to_owned());
            }
            let new = state.log.iter();
            let new = new.filter(|c| c.revision > from && c.kind == kind);
            let events = new.map(|c| {
                let (object, removed) = (&c.object, c.removed);
                format!("{{\"object\":{object},\"tombstone\":{removed}}}")
            });
            let events: Vec<_> = events.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let answer = format!("{{\"events\":[{events}],\"asOf\":{revision}}}");
                return (200, answer);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
