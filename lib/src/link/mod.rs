//! Connections between our own processes: mutual TLS, or plain where the
//! settings name no keys.
//!
//! Every process has a certificate of one authority for the name
//! [`CERTIFICATE_NAME`]; VMs come and go with their addresses, so a certificate
//! says "one of ours" and no address. Both sides show one. The files are read
//! again when they change; connections that are open go on.

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

/// The name in the certificate of every process.
pub const CERTIFICATE_NAME: &str = "banyangauge";

/// How often the key files are looked at.
const RELOAD_EVERY: Duration = Duration::from_secs(10);

/// The longest that a handshake may take; who connects and says nothing holds
/// a socket no longer than this.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections that have shaken hands and wait to be served.
const READY: usize = 64;

/// Handshakes under way at a time; more wait in the listener's backlog, so that
/// a flood of them takes a bounded memory.
const HANDSHAKES: usize = 256;

/// Where the keys are, as PEM files.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Certificates of the authorities that are trusted; two while one takes
    /// the other's place.
    pub authority: PathBuf,
    /// This process's certificate and those between it and the authority.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
}

/// Why keys cannot be used or a connection cannot be made.
#[derive(Debug)]
pub enum LinkError {
    /// A file cannot be read.
    Read {
        /// Which file.
        file: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// A file does not hold what it should.
    Malformed {
        /// Which file.
        file: PathBuf,
        /// What is wrong.
        error: String,
    },
    /// The keys do not fit together.
    InvalidKeys(String),
    /// The other process cannot be reached, or is not one of ours.
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

/// The keys and where they came from.
struct Trust {
    settings: LinkSettings,
    keys: watch::Sender<Arc<Keys>>,
}

/// Makes and takes connections between our processes; clones share the keys.
#[derive(Clone, Default)]
pub struct Link {
    trust: Option<Arc<Trust>>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.trust {
            Some(_) => "Link(tls)",
            None => "Link(plain)",
        })
    }
}

impl Link {
    /// Connections without TLS, for tests and networks that protect them.
    ///
    /// ```
    /// let link = banyangauge::link::Link::plain();
    /// assert_eq!(format!("{link:?}"), "Link(plain)");
    /// ```
    pub const fn plain() -> Self {
        Self { trust: None }
    }

    /// Connections by mutual TLS with the keys of these files.
    ///
    /// # Errors
    ///
    /// When a file cannot be read or the keys do not fit together.
    pub fn load(settings: &LinkSettings) -> Result<Self, LinkError> {
        let keys = Keys::read(settings)?;
        let trust = Trust {
            settings: settings.clone(),
            keys: watch::Sender::new(Arc::new(keys)),
        };
        Ok(Self {
            trust: Some(Arc::new(trust)),
        })
    }

    /// Reads the files again; gives whether they had changed. Keys that do not
    /// fit are not taken, the former ones stay.
    ///
    /// # Errors
    ///
    /// As [`Self::load`].
    pub fn reload(&self) -> Result<bool, LinkError> {
        let Some(trust) = &self.trust else {
            return Ok(false);
        };
        let keys = Keys::read(&trust.settings)?;
        let changed = trust.keys.borrow().differ(&keys);
        if changed {
            trust.keys.send_replace(Arc::new(keys));
        }
        Ok(changed)
    }

    /// Reloads whenever the files have changed, for ever.
    pub async fn reload_periodically(&self, log: &slog::Logger) {
        loop {
            tokio::time::sleep(RELOAD_EVERY).await;
            match self.reload() {
                Ok(true) => info!(log, "keys reloaded"),
                Ok(false) => {}
                // A file is half written, or wrong: the keys in use stay.
                Err(e) => warn!(log, "keys not reloaded"; "error" => %e),
            }
        }
    }

    /// Connects to one of our processes.
    ///
    /// # Errors
    ///
    /// [`LinkError::Connect`] when it does not answer within `limit`, or does
    /// not show a certificate of our authority.
    pub async fn connect(&self, to: SocketAddr, limit: Duration) -> Result<Channel, LinkError> {
        self.connect_with(to, |e| e.connect_timeout(limit)).await
    }

    /// Connects to one of our processes, with what `set` adds to the endpoint.
    ///
    /// # Errors
    ///
    /// As [`Self::connect`].
    pub async fn connect_with(
        &self,
        to: SocketAddr,
        set: impl FnOnce(Endpoint) -> Endpoint,
    ) -> Result<Channel, LinkError> {
        let endpoint = set(endpoint(to)?);
        let channel = match self.trust.clone() {
            None => endpoint.connect().await,
            Some(trust) => {
                let connector = tower::service_fn(move |_: Uri| dial(Arc::clone(&trust), to));
                endpoint.connect_with_connector(connector).await
            }
        };
        channel.map_err(LinkError::Connect)
    }

    /// A channel that connects when it is first used, with what `set` adds to
    /// the endpoint.
    ///
    /// # Errors
    ///
    /// When the address cannot stand in a URI.
    pub fn connect_lazy(
        &self,
        to: SocketAddr,
        set: impl FnOnce(Endpoint) -> Endpoint,
    ) -> Result<Channel, LinkError> {
        let endpoint = set(endpoint(to)?);
        Ok(match self.trust.clone() {
            None => endpoint.connect_lazy(),
            Some(trust) => {
                let connector = tower::service_fn(move |_: Uri| dial(Arc::clone(&trust), to));
                endpoint.connect_with_connector_lazy(connector)
            }
        })
    }

    /// Serves connections until the listener fails; with keys, only those of
    /// our own processes.
    ///
    /// # Errors
    ///
    /// When the transport fails.
    pub async fn serve(
        &self,
        router: Router,
        listener: TcpListener,
    ) -> Result<(), tonic::transport::Error> {
        match self.trust.clone() {
            None => {
                let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
                router.serve_with_incoming(incoming).await
            }
            Some(trust) => {
                let (to, ready) = mpsc::channel(READY);
                tokio::spawn(accept_all(trust, listener, to));
                let incoming = ReceiverStream::new(ready);
                router.serve_with_incoming(incoming).await
            }
        }
    }
}

fn endpoint(to: SocketAddr) -> Result<Endpoint, LinkError> {
    Endpoint::from_shared(format!("http://{to}")).map_err(LinkError::Connect)
}

/// Connects with the keys of now, also when a channel connects again later.
async fn dial(
    trust: Arc<Trust>,
    to: SocketAddr,
) -> io::Result<TokioIo<tokio_rustls::client::TlsStream<TcpStream>>> {
    let (connector, name) = {
        let keys = trust.keys.borrow();
        (
            TlsConnector::from(Arc::clone(&keys.client)),
            keys.name.clone(),
        )
    };
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(TokioIo::new(connector.connect(name, stream).await?))
}

type Ready = mpsc::Sender<io::Result<TlsStream<TcpStream>>>;

/// Shakes hands with each connection apart from the others, so that a slow or
/// foreign one holds nobody up.
async fn accept_all(trust: Arc<Trust>, listener: TcpListener, to: Ready) {
    let room = Arc::new(tokio::sync::Semaphore::new(HANDSHAKES));
    while let Ok(place) = Arc::clone(&room).acquire_owned().await {
        let stream = tokio::select! {
            () = to.closed() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                // The usual cause is a lack of descriptors; it passes.
                Err(_) => {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
        };
        let acceptor = TlsAcceptor::from(Arc::clone(&trust.keys.borrow().server));
        let to = to.clone();
        tokio::spawn(async move {
            let _place = place;
            let _ = stream.set_nodelay(true);
            if let Ok(Ok(stream)) = timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
                // The program is stopping when nobody takes it.
                let _ = to.send(Ok(stream)).await;
            }
        });
    }
}
