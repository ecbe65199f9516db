//! The platform's object API: versions, conditional updates and watches.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest that one call may take; the platform answers in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest object or watch line that is accepted, above the platform's own
/// limit of a megabyte a value.
const MAX_BODY: usize = 8 << 20;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// No such object.
    NotFound,
    /// The object exists already, or has another version than the one read.
    Conflict,
    /// The watch's version is too old; list again.
    Expired,
    /// The platform refuses for now (rate or outage); it did nothing.
    Refused(u16),
    /// The object is too large.
    TooLarge,
    /// The platform cannot be reached; nothing was done.
    Unreachable(String),
    /// The call was sent and its answer lost: it may have taken effect.
    Lost(String),
    /// The answer is not of the published form.
    Malformed(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => write!(f, "no such object"),
            Self::Conflict => write!(f, "the object has changed"),
            Self::Expired => write!(f, "the watched version is too old"),
            Self::Refused(code) => write!(f, "the platform refused with {code}"),
            Self::TooLarge => write!(f, "the object is too large"),
            Self::Unreachable(e) => write!(f, "the platform cannot be reached: {e}"),
            Self::Lost(e) => write!(f, "the platform's answer was lost: {e}"),
            Self::Malformed(e) => write!(f, "the platform's answer is malformed: {e}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Name and version of an object.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// Its name, unique in its kind.
    #[serde(default)]
    pub name: String,
    /// Its version; empty at creation.
    #[serde(default, rename = "resourceVersion")]
    pub version: String,
}

/// An object with its content.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Object<T> {
    /// Its kind, in the plural of its path.
    #[serde(default)]
    pub kind: String,
    /// Name and version.
    pub metadata: Metadata,
    /// Content.
    pub spec: T,
}

/// All objects of a kind, and the version to watch from.
#[derive(Clone, Debug, Deserialize)]
pub struct List<T> {
    /// The version of the list.
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
    /// It was replaced.
    Modified(Object<T>),
    /// It was deleted; this is its last content.
    Deleted(Object<T>),
    /// Nothing happened; only the version is meant.
    Bookmark(serde_json::Value),
}

/// A client of the platform; clones share their connections.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Platform {
    /// A client for the platform at `address`; nothing is sent yet.
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build_http();
        Self { address, client }
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotFound`] and the failures of any call.
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
    /// The failures of any call.
    pub async fn list<T: DeserializeOwned>(&self, kind: &str) -> Result<List<T>, PlatformError> {
        let body = self.call(Method::GET, kind, Bytes::new()).await?;
        parse(&body)
    }

    /// Creates an object; gives its version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when it exists; after
    /// [`PlatformError::Lost`] the caller reads back what became of it.
    pub async fn create<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        spec: &T,
    ) -> Result<String, PlatformError> {
        let body = encode(kind, name, "", spec)?;
        let answer = self.call(Method::POST, kind, body).await?;
        Ok(parse::<Object<serde_json::Value>>(&answer)?
            .metadata
            .version)
    }

    /// Replaces an object if it still has `version`; gives the new version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when it has another version; after
    /// [`PlatformError::Lost`] the caller reads back what became of it.
    pub async fn replace<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        version: &str,
        spec: &T,
    ) -> Result<String, PlatformError> {
        let body = encode(kind, name, version, spec)?;
        let answer = self
            .call(Method::PUT, &format!("{kind}/{name}"), body)
            .await?;
        Ok(parse::<Object<serde_json::Value>>(&answer)?
            .metadata
            .version)
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// [`PlatformError::NotFound`] and the failures of any call.
    pub async fn delete(&self, kind: &str, name: &str) -> Result<(), PlatformError> {
        self.call(Method::DELETE, &format!("{kind}/{name}"), Bytes::new())
            .await?;
        Ok(())
    }

    /// Follows a kind from `version` on.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Expired`] when the version is too old, and the
    /// failures of any call.
    pub async fn watch(&self, kind: &str, version: &str) -> Result<Watch, PlatformError> {
        let path = format!("{kind}?watch=1&resourceVersion={version}");
        let response = self.send(Method::GET, &path, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => Ok(Watch {
                body: response.into_body(),
                buffer: BytesMut::new(),
            }),
            status => Err(status_error(status)),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, PlatformError> {
        let work = async {
            let response = self.send(method, path, body).await?;
            let status = response.status();
            let limited = http_body_util::Limited::new(response.into_body(), MAX_BODY);
            let body = limited
                .collect()
                .await
                .map_err(|e| PlatformError::Lost(e.to_string()))?
                .to_bytes();
            match status.is_success() {
                true => Ok(body),
                false => Err(status_error(status)),
            }
        };
        tokio::time::timeout(CALL_TIMEOUT, work)
            .await
            .map_err(|_| PlatformError::Lost("no answer in time".to_owned()))?
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<hyper::Response<Incoming>, PlatformError> {
        let uri = format!("http://{}/apis/banyangauge.dev/v1/{path}", self.address);
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|e| PlatformError::Malformed(e.to_string()))?;
        self.client
            .request(request)
            .await
            .map_err(|e| match e.is_connect() {
                true => PlatformError::Unreachable(e.to_string()),
                false => PlatformError::Lost(e.to_string()),
            })
    }
}

/// A watch under way.
#[derive(Debug)]
pub struct Watch {
    body: Incoming,
    buffer: BytesMut,
}

impl Watch {
    /// The next event; `None` when the platform ended the watch.
    ///
    /// # Errors
    ///
    /// When the connection broke or a line is not of the published form.
    pub async fn next<T: DeserializeOwned>(
        &mut self,
    ) -> Result<Option<WatchEvent<T>>, PlatformError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return parse(&line).map(Some);
            }
            if self.buffer.len() > MAX_BODY {
                return Err(PlatformError::Malformed("a watch line is too long".into()));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(PlatformError::Lost(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}

/// What a status that is no success means; the same for every store.
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
