//! From a caller's head and body to a call: who asks for what, until when,
//! and how often it may run.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header::HeaderName;
use hyper::http::request;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::CallerError;
use super::Code;
use super::Completion;
use super::settings::Limits;
use super::view::CatalogView;
use crate::ids::AdapterVersion;
use crate::ids::Fingerprint;
use crate::ids::PoolName;
use crate::ids::TeamName;
use crate::pool::Class;

/// The longest idempotency key, in bytes; it is stored in the platform.
const MAX_KEY: usize = 255;

/// What is sent on to the upstream.
#[derive(Clone, Debug)]
pub(super) enum Content {
    /// A completion, to a model engine.
    Completion(Completion),
    /// A call to a plain service.
    Plain {
        /// The caller's headers that travel on.
        headers: HeaderMap,
        /// The caller's body.
        body: Bytes,
    },
}

/// The id of a request.
#[derive(Clone, Debug)]
pub(super) struct Id {
    /// Unique among all entries.
    pub text: String,
    /// Unique in this process.
    pub number: u64,
}

/// A caller's request, checked against the catalog.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Its id, for upstreams, callers and the time line.
    pub id: String,
    /// Its number in this process, the same for all its tries.
    pub number: u64,
    /// Who pays.
    pub team: TeamName,
    /// Which pool serves it.
    pub pool: PoolName,
    /// The exact adapter version; `None` for a plain service.
    pub adapter: Option<AdapterVersion>,
    /// Its class.
    pub class: Class,
    /// When its caller gives up, in microseconds of the entry's clock.
    pub deadline: u64,
    /// When it came in, by the same clock.
    pub received: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Team and idempotency key; empty is none.
    pub claim: String,
    /// Hash of the whole request.
    pub fingerprint: Fingerprint,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The rest.
    pub content: Content,
}

enum Kind {
    Completion { chat: bool },
    Plain { pool: PoolName, idempotent: bool },
}

/// What the head of a request says; its body is read only after this passed.
pub(super) struct Head {
    team: TeamName,
    class: Class,
    /// When the caller gives up, in microseconds of the entry's clock.
    pub deadline: u64,
    idempotent: bool,
    claim: String,
    kind: Kind,
}

impl Head {
    /// Checks key, path and headers.
    ///
    /// # Errors
    ///
    /// The first of them that is refused; the body need not be read then.
    pub(super) fn read(
        view: &CatalogView,
        limits: &Limits,
        parts: &request::Parts,
        now: u64,
    ) -> Result<Self, CallerError> {
        let headers = &parts.headers;
        let team = view.authenticate(headers)?.clone();
        let kind = read_kind(view, parts)?;
        let key = read_key(headers)?;
        let by_kind = match &kind {
            Kind::Completion { .. } => true,
            Kind::Plain { idempotent, .. } => *idempotent,
        };
        let idempotent = read_idempotent(headers)?.unwrap_or(by_kind) && key.is_none();
        Ok(Self {
            class: read_class(headers, &kind)?,
            deadline: now + 1_000 * read_deadline(headers, limits)?,
            idempotent,
            claim: key.map(|k| format!("{team}/{k}")).unwrap_or_default(),
            team,
            kind,
        })
    }

    /// Adds the body.
    ///
    /// # Errors
    ///
    /// When the body is malformed, or its adapter or version cannot be served
    /// to the team.
    pub(super) fn call(
        self,
        view: &CatalogView,
        parts: request::Parts,
        body: Bytes,
        id: Id,
        received: u64,
    ) -> Result<Call, CallerError> {
        let path = match parts.uri.path_and_query() {
            Some(p) => p.as_str().to_owned(),
            None => parts.uri.path().to_owned(),
        };
        let (pool, adapter, fingerprint, content) = match self.kind {
            Kind::Completion { chat } => {
                let c = Completion::parse(body, chat)?;
                let (pool, adapter) = view.resolve(&self.team, c.model())?;
                let fingerprint = c.fingerprint(&adapter);
                let content = Content::Completion(c);
                (pool.clone(), Some(adapter), fingerprint, content)
            }
            Kind::Plain { pool, .. } => {
                let seed = xxh3_64(path.as_bytes()) ^ xxh3_64(parts.method.as_str().as_bytes());
                let fingerprint = Fingerprint(xxh3_64_with_seed(&body, seed));
                let headers = end_to_end_headers(parts.headers);
                (pool, None, fingerprint, Content::Plain { headers, body })
            }
        };
        Ok(Call {
            id: id.text,
            number: id.number,
            team: self.team,
            pool,
            adapter,
            class: self.class,
            deadline: self.deadline,
            received,
            idempotent: self.idempotent,
            claim: self.claim,
            fingerprint,
            method: parts.method,
            path,
            content,
        })
    }
}

impl Call {
    /// Whether the answer is a stream.
    pub(super) fn stream(&self) -> bool {
        matches!(&self.content, Content::Completion(c) if c.stream)
    }
}

fn read_kind(view: &CatalogView, parts: &request::Parts) -> Result<Kind, CallerError> {
    let path = parts.uri.path();
    let chat = match path {
        "/v1/completions" => false,
        "/v1/chat/completions" => true,
        _ => {
            let service = view.service(path)?;
            return Ok(Kind::Plain {
                pool: service.pool.clone(),
                idempotent: service.idempotent.contains(parts.method.as_str()),
            });
        }
    };
    match parts.method {
        Method::POST => Ok(Kind::Completion { chat }),
        _ => Err(CallerError::new(
            Code::UnknownPath,
            format!("{path} takes POST only"),
        )),
    }
}

fn bad(name: &str, allowed: &str) -> CallerError {
    CallerError::new(Code::BadHeader, format!("{name}: allowed is {allowed}"))
}

fn read_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        return Err(bad(name, "one value"));
    }
    value
        .map(|v| v.to_str().map_err(|_| bad(name, "visible ASCII")))
        .transpose()
}

fn read_deadline(headers: &HeaderMap, limits: &Limits) -> Result<u64, CallerError> {
    let name = "x-deadline-ms";
    let Some(text) = read_text(headers, name)? else {
        return Ok(limits.default_deadline_ms);
    };
    let most = limits.most_deadline_ms;
    text.parse()
        .ok()
        .filter(|ms| (1..=most).contains(ms))
        .ok_or_else(|| bad(name, &format!("1 to {most}")))
}

fn read_class(headers: &HeaderMap, kind: &Kind) -> Result<Class, CallerError> {
    let name = "x-class";
    match (read_text(headers, name)?, kind) {
        (Some("long"), _) => Ok(Class::Long),
        (Some("interactive") | None, Kind::Completion { .. }) => Ok(Class::Interactive),
        (Some("interactive") | None, Kind::Plain { .. }) => Ok(Class::Call),
        (Some(_), _) => Err(bad(name, "interactive or long")),
    }
}

fn read_idempotent(headers: &HeaderMap) -> Result<Option<bool>, CallerError> {
    let name = "x-idempotent";
    match read_text(headers, name)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(bad(name, "true or false")),
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<&str>, CallerError> {
    let name = "idempotency-key";
    let key = read_text(headers, name)?;
    match key {
        Some(k) if k.is_empty() || k.len() > MAX_KEY => Err(bad(name, "1 to 255 characters")),
        _ => Ok(key),
    }
}

/// Headers that are hop-by-hop or meant for the entry.
const HOP_HEADERS: [&str; 14] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-idempotent",
    "x-request-id",
];

/// Removes the headers that are not forwarded, in either direction.
pub(super) fn end_to_end_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
