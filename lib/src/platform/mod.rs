//! Client for the platform's object API: versioned objects, conditional
//! updates and watches.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::upstream::BodyChunks;
use crate::upstream::SendError;
use crate::upstream::UpstreamResponse;
use crate::upstream::Upstreams;
use crate::upstream::read_body;

/// Upper bound on one call; the platform normally answers within milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest response body or watch line that is accepted, above the platform's
/// own limit of 1 MB per value.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The object does not exist.
    NotFound,
    /// The object already exists, or its version differs from the one given.
    Conflict,
    /// The version to watch from is no longer available; list again.
    Expired,
    /// The platform refused with this HTTP status (rate limit or outage); the
    /// call had no effect.
    Refused(u16),
    /// The object is too large.
    TooLarge,
    /// The response has more bytes than this.
    ResponseTooLarge(usize),
    /// No connection to the platform; the call had no effect.
    Unreachable(String),
    /// The call was sent but no response arrived; it may have taken effect.
    Lost(String),
    /// The request or response could not be encoded or decoded.
    Malformed(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => write!(f, "the object does not exist"),
            Self::Conflict => write!(f, "the object exists already or has another version"),
            Self::Expired => write!(f, "the version to watch from is too old"),
            Self::Refused(code) => write!(f, "the platform refused with HTTP status {code}"),
            Self::TooLarge => write!(f, "the object is too large"),
            Self::ResponseTooLarge(max) => {
                write!(f, "the platform's response is larger than {max} bytes")
            }
            Self::Unreachable(e) => write!(f, "the platform cannot be reached: {e}"),
            Self::Lost(e) => write!(f, "the platform's response was lost: {e}"),
            Self::Malformed(e) => write!(f, "the platform's response is malformed: {e:.300}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Name and version of an object.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// Name, unique within its kind.
    #[serde(default)]
    pub name: String,
    /// Version set by the platform; empty when creating.
    #[serde(default, rename = "resourceVersion")]
    pub version: String,
}

/// A stored object.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Object<T> {
    /// Kind, in the plural form that its path uses.
    #[serde(default)]
    pub kind: String,
    /// Name and version of the object.
    pub metadata: Metadata,
    /// Content of the object.
    pub spec: T,
}

/// All objects of a kind, and the version to watch from.
#[derive(Clone, Debug, Deserialize)]
pub struct List<T> {
    /// Carries the version of the list.
    pub metadata: Metadata,
    /// The objects.
    pub items: Vec<Object<T>>,
}

/// One line of a watch.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "type", content = "object", rename_all = "UPPERCASE")]
pub enum WatchEvent<T> {
    /// An object was created.
    Added(Object<T>),
    /// An object was replaced.
    Modified(Object<T>),
    /// An object was deleted; carries its last content.
    Deleted(Object<T>),
    /// No change; only advances the version to resume from.
    Bookmark(serde_json::Value),
}

/// A client of the platform; clones share one connection pool.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    upstreams: Upstreams,
}

impl Platform {
    /// Returns a client for the platform at `address` without connecting.
    pub fn new(address: SocketAddr) -> Self {
        let upstreams = Upstreams::new();
        Self { address, upstreams }
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotFound`], or the call failed.
    pub async fn get<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Object<T>, PlatformError> {
        let body = self
            .call(Method::GET, &format!("{kind}/{name}"), Bytes::new())
            .await?;
        parse(&body)
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// The call failed.
    pub async fn list<T: DeserializeOwned>(&self, kind: &str) -> Result<List<T>, PlatformError> {
        let body = self.call(Method::GET, kind, Bytes::new()).await?;
        parse(&body)
    }

    /// Creates an object and returns its version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when the object exists. After
    /// [`PlatformError::Lost`] the caller must read the object to learn whether
    /// it was created.
    pub async fn create<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        spec: &T,
    ) -> Result<String, PlatformError> {
        let body = encode(kind, name, "", spec)?;
        let response = self.call(Method::POST, kind, body).await?;
        Ok(parse::<Object<serde_json::Value>>(&response)?
            .metadata
            .version)
    }

    /// Replaces an object if it still has `version`; returns the new version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when the object has another version. After
    /// [`PlatformError::Lost`] the caller must read the object to learn whether
    /// it was replaced.
    pub async fn replace<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        version: &str,
        spec: &T,
    ) -> Result<String, PlatformError> {
        let body = encode(kind, name, version, spec)?;
        let response = self
            .call(Method::PUT, &format!("{kind}/{name}"), body)
            .await?;
        Ok(parse::<Object<serde_json::Value>>(&response)?
            .metadata
            .version)
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotFound`], or the call failed.
    pub async fn delete(&self, kind: &str, name: &str) -> Result<(), PlatformError> {
        self.call(Method::DELETE, &format!("{kind}/{name}"), Bytes::new())
            .await?;
        Ok(())
    }

    /// Watches the changes of a kind after `version`.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Expired`] when the version is too old, or the call
    /// failed.
    pub async fn watch(&self, kind: &str, version: &str) -> Result<Watch, PlatformError> {
        let path = format!("{kind}?watch=1&resourceVersion={version}");
        let response = self.send(Method::GET, &path, Bytes::new()).await?;
        match response.head.status {
            StatusCode::OK => Ok(Watch {
                response,
                buffer: BytesMut::new(),
            }),
            status => Err(status_error(status)),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, PlatformError> {
        let exchange = async {
            let mut response = self.send(method, path, body).await?;
            let body = read_body(&mut response, MAX_BODY_BYTES).await;
            let body = body.map_err(|e| PlatformError::Lost(e.to_string()))?;
            let status = response.head.status;
            match status.is_success() {
                true => Ok(body),
                false => Err(status_error(status)),
            }
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| PlatformError::Lost("no response within 2 s".to_owned()))?
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<UpstreamResponse, PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("/apis/banyangauge.dev/v1/{path}"))
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(BodyChunks::from(body))
            .map_err(|e| PlatformError::Malformed(e.to_string()))?;
        let sent = self.upstreams.send(self.address, request).await;
        sent.map_err(|e| match e {
            SendError::NotSent(e) => PlatformError::Unreachable(e),
            e => PlatformError::Lost(e.to_string()),
        })
    }
}

/// An open watch: a stream of newline-delimited JSON events.
#[derive(Debug)]
pub struct Watch {
    response: UpstreamResponse,
    buffer: BytesMut,
}

impl Watch {
    /// Returns the next event, or `None` when the platform closed the watch.
    ///
    /// # Errors
    ///
    /// When the connection broke, or a line is malformed or longer than 8 MiB.
    pub async fn next<T: DeserializeOwned>(
        &mut self,
    ) -> Result<Option<WatchEvent<T>>, PlatformError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return parse(&line).map(Some);
            }
            if self.buffer.len() > MAX_BODY_BYTES {
                return Err(PlatformError::Malformed(
                    "a watch line is longer than 8 MiB".into(),
                ));
            }
            match self.response.next_chunk().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(PlatformError::Lost(e.to_string())),
                Some(Ok(chunk)) => self.buffer.extend_from_slice(&chunk),
            }
        }
    }
}

/// Maps an HTTP status that is not a success to an error; every store that
/// speaks the platform's API uses this mapping.
pub fn status_error(status: StatusCode) -> PlatformError {
    match status {
        StatusCode::NOT_FOUND => PlatformError::NotFound,
        StatusCode::CONFLICT => PlatformError::Conflict,
        StatusCode::GONE => PlatformError::Expired,
        StatusCode::PAYLOAD_TOO_LARGE => PlatformError::TooLarge,
        other => PlatformError::Refused(other.as_u16()),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|e| PlatformError::Malformed(e.to_string()))
}

fn encode<T: Serialize>(
    kind: &str,
    name: &str,
    version: &str,
    spec: &T,
) -> Result<Bytes, PlatformError> {
    let object = Object {
        kind: kind.to_owned(),
        metadata: Metadata {
            name: name.to_owned(),
            version: version.to_owned(),
        },
        spec,
    };
    serde_json::to_vec(&object)
        .map(Bytes::from)
        .map_err(|e| PlatformError::Malformed(e.to_string()))
}
