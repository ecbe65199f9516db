//! Parses a caller's request into a call, checked against the catalog: its team,
//! pool and adapter, its deadline, and whether it may run more than once.

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

/// Maximum length of an idempotency key; the platform stores the keys.
const MAX_KEY_BYTES: usize = 255;

/// The content that is forwarded to the upstream.
#[derive(Clone, Debug)]
pub(super) enum Content {
    /// A completion for a model engine.
    Completion(Completion),
    /// A call to a service.
    Plain {
        /// The caller's end-to-end headers.
        headers: HeaderMap,
        /// The caller's body.
        body: Bytes,
    },
}

/// The identifiers of a request.
#[derive(Clone, Debug)]
pub(super) struct RequestId {
    /// Identifier that is unique among all entries.
    pub text: String,
    /// Number that is unique in this process.
    pub number: u64,
}

/// A caller's request, checked against the catalog.
#[derive(Clone, Debug)]
pub(super) struct Call {
    /// Identifier for upstreams, callers and the timeline.
    pub id: String,
    /// Number in this process, the same for all attempts.
    pub number: u64,
    /// The team that made the request.
    pub team: TeamName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The adapter version; `None` for a service.
    pub adapter: Option<AdapterVersion>,
    /// The scheduling class.
    pub class: Class,
    /// Deadline, in microseconds of the entry's clock.
    pub deadline: u64,
    /// Time of arrival, in microseconds of the same clock.
    pub received: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Team and idempotency key; empty if there is no key.
    pub claim: String,
    /// Hash of the whole request.
    pub fingerprint: Fingerprint,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The content for the upstream.
    pub content: Content,
}

enum CallKind {
    Completion { chat: bool },
    Plain { pool: PoolName, idempotent: bool },
}

/// The checked head of a request. The body is read only if the head is valid.
pub(super) struct CallHead {
    team: TeamName,
    class: Class,
    /// Deadline, in microseconds of the entry's clock.
    pub deadline: u64,
    idempotent: bool,
    claim: String,
    kind: CallKind,
}

impl CallHead {
    /// Checks the bearer key, the path and the headers.
    ///
    /// # Errors
    ///
    /// The error for the first of them that is invalid.
    pub(super) fn parse(
        view: &CatalogView,
        limits: &Limits,
        parts: &request::Parts,
        now: u64,
    ) -> Result<Self, CallerError> {
        let headers = &parts.headers;
        let team = view.authenticate(headers)?.clone();
        let kind = parse_kind(view, parts)?;
        let key = parse_key(headers)?;
        let default_idempotent = match &kind {
            CallKind::Completion { .. } => true,
            CallKind::Plain { idempotent, .. } => *idempotent,
        };
        let idempotent = parse_idempotent(headers)?.unwrap_or(default_idempotent) && key.is_none();
        Ok(Self {
            class: parse_class(headers, &kind)?,
            deadline: now + 1_000 * parse_deadline_ms(headers, limits)?,
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
    /// If the body is malformed, or its adapter or version is not served to the
    /// team.
    pub(super) fn into_call(
        self,
        view: &CatalogView,
        parts: request::Parts,
        body: Bytes,
        id: RequestId,
        received: u64,
    ) -> Result<Call, CallerError> {
        let path = match parts.uri.path_and_query() {
            Some(p) => p.as_str().to_owned(),
            None => parts.uri.path().to_owned(),
        };
        let (pool, adapter, fingerprint, content) = match self.kind {
            CallKind::Completion { chat } => {
                let c = Completion::parse(body, chat)?;
                let (pool, adapter) = view.resolve(&self.team, c.model())?;
                let fingerprint = c.fingerprint(&adapter);
                let content = Content::Completion(c);
                (pool.clone(), Some(adapter), fingerprint, content)
            }
            CallKind::Plain { pool, .. } => {
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
    /// Returns whether the response is a stream.
    pub(super) fn is_stream(&self) -> bool {
        matches!(&self.content, Content::Completion(c) if c.stream)
    }
}

fn parse_kind(view: &CatalogView, parts: &request::Parts) -> Result<CallKind, CallerError> {
    let path = parts.uri.path();
    let chat = match path {
        "/v1/completions" => false,
        "/v1/chat/completions" => true,
        _ => {
            let service = view.service(path)?;
            return Ok(CallKind::Plain {
                pool: service.pool.clone(),
                idempotent: service.idempotent.contains(parts.method.as_str()),
            });
        }
    };
    match parts.method {
        Method::POST => Ok(CallKind::Completion { chat }),
        _ => Err(CallerError::new(
            Code::UnknownPath,
            format!("{path} accepts only POST"),
        )),
    }
}

fn bad_header(name: &str, allowed: &str) -> CallerError {
    CallerError::new(
        Code::BadHeader,
        format!("invalid {name}: expected {allowed}"),
    )
}

fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerError> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        return Err(bad_header(name, "one value"));
    }
    value
        .map(|v| v.to_str().map_err(|_| bad_header(name, "visible ASCII")))
        .transpose()
}

fn parse_deadline_ms(headers: &HeaderMap, limits: &Limits) -> Result<u64, CallerError> {
    let name = "x-deadline-ms";
    let Some(text) = single_value(headers, name)? else {
        return Ok(limits.default_deadline_ms);
    };
    let max_ms = limits.most_deadline_ms;
    text.parse()
        .ok()
        .filter(|ms| (1..=max_ms).contains(ms))
        .ok_or_else(|| bad_header(name, &format!("1 to {max_ms}")))
}

fn parse_class(headers: &HeaderMap, kind: &CallKind) -> Result<Class, CallerError> {
    let name = "x-class";
    match (single_value(headers, name)?, kind) {
        (Some("long"), _) => Ok(Class::Long),
        (Some("interactive") | None, CallKind::Completion { .. }) => Ok(Class::Interactive),
        (Some("interactive") | None, CallKind::Plain { .. }) => Ok(Class::Call),
        (Some(_), _) => Err(bad_header(name, "interactive or long")),
    }
}

fn parse_idempotent(headers: &HeaderMap) -> Result<Option<bool>, CallerError> {
    let name = "x-idempotent";
    match single_value(headers, name)? {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(bad_header(name, "true or false")),
    }
}

fn parse_key(headers: &HeaderMap) -> Result<Option<&str>, CallerError> {
    let name = "idempotency-key";
    let key = single_value(headers, name)?;
    match key {
        Some(k) if k.is_empty() || k.len() > MAX_KEY_BYTES => {
            Err(bad_header(name, "1 to 255 characters"))
        }
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
    let listed: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers
}
