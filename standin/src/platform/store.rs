//! Objects with versions, and the events of their changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bytes::Bytes;
use serde_json::Value;
use serde_json::json;

/// Events that are kept for watches.
const EVENTS_MOST: usize = 20_000;

/// Why the store refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StoreError {
    NotFound,
    Exists,
    Conflict,
    Expired,
    Malformed,
}

#[derive(Debug)]
struct Event {
    version: u64,
    kind: String,
    line: Bytes,
}

/// All objects.
#[derive(Debug, Default)]
pub(super) struct Store {
    version: u64,
    kinds: BTreeMap<String, BTreeMap<String, Value>>,
    events: VecDeque<Event>,
    /// Events up to this version are no longer kept.
    forgotten: u64,
}

impl Store {
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Result<Value, StoreError> {
        let object = self.kinds.get(kind).and_then(|k| k.get(name));
        object.cloned().ok_or(StoreError::NotFound)
    }

    pub(super) fn list(&self, kind: &str) -> Value {
        let items: Vec<&Value> = self
            .kinds
            .get(kind)
            .map(|k| k.values().collect())
            .unwrap_or_default();
        json!({"metadata": {"resourceVersion": self.version.to_string()}, "items": items})
    }

    pub(super) fn create(&mut self, kind: &str, body: &[u8]) -> Result<Value, StoreError> {
        let (name, _, spec) = parse(body)?;
        if self.get(kind, &name).is_ok() {
            return Err(StoreError::Exists);
        }
        Ok(self.put(kind, &name, spec, "ADDED"))
    }

    pub(super) fn replace(
        &mut self,
        kind: &str,
        name: &str,
        body: &[u8],
    ) -> Result<Value, StoreError> {
        let (_, version, spec) = parse(body)?;
        let present = self.get(kind, name)?;
        if present["metadata"]["resourceVersion"].as_str() != Some(version.as_str()) {
            return Err(StoreError::Conflict);
        }
        Ok(self.put(kind, name, spec, "MODIFIED"))
    }

    pub(super) fn delete(&mut self, kind: &str, name: &str) -> Result<Value, StoreError> {
        let removed = self.kinds.get_mut(kind).and_then(|k| k.remove(name));
        let mut object = removed.ok_or(StoreError::NotFound)?;
        self.version += 1;
        object["metadata"]["resourceVersion"] = Value::from(self.version.to_string());
        self.publish(kind, "DELETED", &object);
        Ok(object)
    }

    /// Makes a kind hold exactly these objects.
    pub(super) fn set_all(&mut self, kind: &str, wanted: &BTreeMap<String, Value>) {
        let present: BTreeMap<String, Value> = self.kinds.get(kind).cloned().unwrap_or_default();
        for name in present.keys().filter(|n| !wanted.contains_key(*n)) {
            // It was there a moment ago, under the same lock.
            let _ = self.delete(kind, name);
        }
        for (name, spec) in wanted {
            match present.get(name) {
                Some(old) if old["spec"] == *spec => {}
                Some(_) => drop(self.put(kind, name, spec.clone(), "MODIFIED")),
                None => drop(self.put(kind, name, spec.clone(), "ADDED")),
            }
        }
    }

    fn put(&mut self, kind: &str, name: &str, spec: Value, change: &str) -> Value {
        self.version += 1;
        let object = json!({
            "kind": kind,
            "metadata": {"name": name, "resourceVersion": self.version.to_string()},
            "spec": spec,
        });
        let of_kind = self.kinds.entry(kind.to_owned()).or_default();
        of_kind.insert(name.to_owned(), object.clone());
        self.publish(kind, change, &object);
        object
    }

    fn publish(&mut self, kind: &str, change: &str, object: &Value) {
        let line = format!("{}\n", json!({"type": change, "object": object}));
        self.events.push_back(Event {
            version: self.version,
            kind: kind.to_owned(),
            line: line.into(),
        });
        if self.events.len() > EVENTS_MOST
            && let Some(old) = self.events.pop_front()
        {
            self.forgotten = old.version;
        }
    }

    /// The lines of a kind's events after a version.
    pub(super) fn events(&self, kind: &str, after: u64) -> Result<Bytes, StoreError> {
        if after < self.forgotten {
            return Err(StoreError::Expired);
        }
        let first = self.events.partition_point(|e| e.version <= after);
        let mut lines = Vec::new();
        for event in self.events.range(first..).filter(|e| e.kind == kind) {
            lines.extend_from_slice(&event.line);
        }
        Ok(lines.into())
    }
}

/// Name, version and content of an object that was sent.
fn parse(body: &[u8]) -> Result<(String, String, Value), StoreError> {
    let mut object: Value = serde_json::from_slice(body).map_err(|_| StoreError::Malformed)?;
    let text = |v: &Value| v.as_str().unwrap_or("").to_owned();
    let name = text(&object["metadata"]["name"]);
    let version = text(&object["metadata"]["resourceVersion"]);
    match name.is_empty() {
        true => Err(StoreError::Malformed),
        false => Ok((name, version, object["spec"].take())),
    }
}
