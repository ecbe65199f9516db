//! Connections between the processes of the system: mutual TLS, or plain TCP
//! where the settings name no keys.
//!
//! Every process has a certificate of a common authority, issued for the name
//! [`CERTIFICATE_NAME`]. VMs and their addresses change often, so a certificate
//! proves membership of the system and names no address. Changed key files are
//! reloaded; open connections keep the keys they were made with.

mod keys;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::Uri;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::TlsConnector;
use tokio_rustls::server::TlsStream;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Channel;
use tonic::transport::Endpoint;
use tonic::transport::server::Router;
use tonic::transport::server::TcpIncoming;

use keys::Keys;

/// The subject name in the certificate of every process.
pub const CERTIFICATE_NAME: &str = "banyangauge";

/// Interval at which the key files are checked for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// Upper bound on a TLS handshake, so that an idle client cannot hold a socket
/// for longer.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Capacity of the queue of connections that finished their handshake and wait
/// to be served.
const READY_CAPACITY: usize = 64;

/// Maximum number of concurrent handshakes. Further connections wait in the
/// listener's backlog, so that a flood of them takes bounded memory.
const MAX_HANDSHAKES: usize = 256;

/// Paths of the PEM files that hold the keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Certificates of the trusted authorities; two during a rotation.
    pub authority: PathBuf,
    /// This process's certificate, followed by any intermediate certificates.
    pub certificate: PathBuf,
    /// The private key of this process's certificate.
    pub key: PathBuf,
}

/// Why loading keys or connecting failed.
#[derive(Debug)]
pub enum LinkError {
    /// A file cannot be read.
    Read {
        /// The key file.
        file: PathBuf,
        /// The operating system's error.
        error: io::Error,
    },
    /// A file does not contain a valid certificate or key in PEM format.
    Malformed {
        /// The key file.
        file: PathBuf,
        /// The parser's error.
        error: String,
    },
    /// TLS rejected the keys, for example because key and certificate do not
    /// match.
    InvalidKeys(String),
    /// The other process cannot be reached, or has no trusted certificate.
    Connect(tonic::transport::Error),
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { file, error } => write!(f, "{}: {error}", file.display()),
            Self::Malformed { file, error } => write!(f, "{}: {error}", file.display()),
            Self::InvalidKeys(e) => f.write_str(e),
            Self::Connect(e) => write!(f, "cannot connect: {e}"),
        }
    }
}

impl std::error::Error for LinkError {}

/// The current keys and the files they are loaded from.
struct KeySource {
    settings: LinkSettings,
    keys: watch::Sender<Arc<Keys>>,
}

/// Opens and accepts connections between the processes of the system; clones
/// share their keys.
#[derive(Clone, Default)]
pub struct Link {
    /// `None` for plain TCP.
    source: Option<Arc<KeySource>>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.source {
            Some(_) => "Link(tls)",
            None => "Link(plain)",
        })
    }
}

impl Link {
    /// Returns a link without TLS, for tests and for networks that are protected
    /// by other means.
    ///
    /// ```
    /// let link = banyangauge::link::Link::plain();
    /// assert_eq!(format!("{link:?}"), "Link(plain)");
    /// ```
    pub const fn plain() -> Self {
        Self { source: None }
    }

    /// Returns a link that uses mutual TLS with the keys in these files.
    ///
    /// # Errors
    ///
    /// When a file cannot be read, or the keys are malformed or do not match.
    pub fn load(settings: &LinkSettings) -> Result<Self, LinkError> {
        let keys = Keys::read(settings)?;
        let source = KeySource {
            settings: settings.clone(),
            keys: watch::Sender::new(Arc::new(keys)),
        };
        Ok(Self {
            source: Some(Arc::new(source)),
        })
    }

    /// Reloads the key files and returns whether they had changed. On an error
    /// the current keys stay in use.
    ///
    /// # Errors
    ///
    /// See [`Self::load`].
    pub fn reload(&self) -> Result<bool, LinkError> {
        let Some(source) = &self.source else {
            return Ok(false);
        };
        let keys = Keys::read(&source.settings)?;
        let changed = source.keys.borrow().differ_from(&keys);
        if changed {
            source.keys.send_replace(Arc::new(keys));
        }
        Ok(changed)
    }

    /// Reloads changed key files periodically; never returns.
    pub async fn reload_periodically(&self, log: &slog::Logger) {
        loop {
            tokio::time::sleep(RELOAD_INTERVAL).await;
            match self.reload() {
                Ok(true) => info!(log, "keys reloaded"),
                Ok(false) => {}
                // Possibly a file that is still being written; the current
                // keys stay in use.
                Err(e) => warn!(log, "key reload failed"; "error" => %e),
            }
        }
    }

    /// Connects to another process of the system.
    ///
    /// # Errors
    ///
    /// [`LinkError::Connect`] when the process does not answer within `limit`,
    /// or presents no certificate of a trusted authority.
    pub async fn connect(&self, to: SocketAddr, limit: Duration) -> Result<Channel, LinkError> {
        self.connect_with(to, |e| e.connect_timeout(limit)).await
    }

    /// Connects to another process of the system over an endpoint that
    /// `configure` adjusts, for example with timeouts.
    ///
    /// # Errors
    ///
    /// See [`Self::connect`].
    pub async fn connect_with(
        &self,
        to: SocketAddr,
        configure: impl FnOnce(Endpoint) -> Endpoint,
    ) -> Result<Channel, LinkError> {
        let endpoint = configure(endpoint(to)?);
        let channel = match self.source.clone() {
            None => endpoint.connect().await,
            Some(source) => {
                let connector = tower::service_fn(move |_: Uri| dial(Arc::clone(&source), to));
                endpoint.connect_with_connector(connector).await
            }
        };
        channel.map_err(LinkError::Connect)
    }

    /// Returns a channel that connects on first use, over an endpoint that
    /// `configure` adjusts.
    ///
    /// # Errors
    ///
    /// When the address does not form a valid URI.
    pub fn connect_lazy(
        &self,
        to: SocketAddr,
        configure: impl FnOnce(Endpoint) -> Endpoint,
    ) -> Result<Channel, LinkError> {
        let endpoint = configure(endpoint(to)?);
        Ok(match self.source.clone() {
            None => endpoint.connect_lazy(),
            Some(source) => {
                let connector = tower::service_fn(move |_: Uri| dial(Arc::clone(&source), to));
                endpoint.connect_with_connector_lazy(connector)
            }
        })
    }

    /// Accepts connections and serves `router` on them until the server fails;
    /// with TLS, only connections of processes with a trusted certificate.
    ///
    /// # Errors
    ///
    /// When the server fails.
    pub async fn serve(
        &self,
        router: Router,
        listener: TcpListener,
    ) -> Result<(), tonic::transport::Error> {
        match self.source.clone() {
            None => {
                let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
                router.serve_with_incoming(incoming).await
            }
            Some(source) => {
                let (ready, accepted) = mpsc::channel(READY_CAPACITY);
                tokio::spawn(accept_all(source, listener, ready));
                let incoming = ReceiverStream::new(accepted);
                router.serve_with_incoming(incoming).await
            }
        }
    }
}

fn endpoint(to: SocketAddr) -> Result<Endpoint, LinkError> {
    Endpoint::from_shared(format!("http://{to}")).map_err(LinkError::Connect)
}

/// Connects with the current keys; a channel calls this again for each reconnect.
async fn dial(
    source: Arc<KeySource>,
    to: SocketAddr,
) -> io::Result<TokioIo<tokio_rustls::client::TlsStream<TcpStream>>> {
    let (connector, server_name) = {
        let keys = source.keys.borrow();
        (
            TlsConnector::from(Arc::clone(&keys.client)),
            keys.server_name.clone(),
        )
    };
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(TokioIo::new(connector.connect(server_name, stream).await?))
}

/// Receives connections that have finished their handshake.
type ReadySender = mpsc::Sender<io::Result<TlsStream<TcpStream>>>;

/// Accepts connections and performs each handshake in a task of its own, so that
/// a slow or untrusted client does not delay the others.
async fn accept_all(source: Arc<KeySource>, listener: TcpListener, ready: ReadySender) {
    let handshakes = Arc::new(tokio::sync::Semaphore::new(MAX_HANDSHAKES));
    while let Ok(permit) = Arc::clone(&handshakes).acquire_owned().await {
        let stream = tokio::select! {
            () = ready.closed() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                // Usually a temporary lack of file descriptors.
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
        };
        let acceptor = TlsAcceptor::from(Arc::clone(&source.keys.borrow().server));
        let ready = ready.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let _ = stream.set_nodelay(true);
            if let Ok(Ok(stream)) = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
                // Fails only when the server is shutting down.
                let _ = ready.send(Ok(stream)).await;
            }
        });
    }
}
