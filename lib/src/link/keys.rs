//! Reads key files and makes the two sides' TLS configurations.

use std::path::Path;
use std::sync::Arc;

use tokio_rustls::rustls::ClientConfig;
use tokio_rustls::rustls::RootCertStore;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::rustls::crypto::CryptoProvider;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::CertificateDer;
use tokio_rustls::rustls::pki_types::PrivateKeyDer;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::server::WebPkiClientVerifier;

use super::CERTIFICATE_NAME;
use super::LinkError;
use super::LinkSettings;

/// The protocol that gRPC speaks.
const ALPN: &[u8] = b"h2";

/// Both sides' configurations, made of the same files.
pub(super) struct Keys {
    pub(super) server: Arc<ServerConfig>,
    pub(super) client: Arc<ClientConfig>,
    pub(super) name: ServerName<'static>,
    /// The files as read, to see whether they change.
    files: [Vec<u8>; 3],
}

impl Keys {
    pub(super) fn read(settings: &LinkSettings) -> Result<Self, LinkError> {
        let files = [
            read(&settings.authority)?,
            read(&settings.certificate)?,
            read(&settings.key)?,
        ];
        let authorities = certificates(&settings.authority, &files[0])?;
        let chain = certificates(&settings.certificate, &files[1])?;
        let key = PrivateKeyDer::from_pem_slice(&files[2])
            .map_err(|e| form(&settings.key, &e.to_string()))?;
        let mut roots = RootCertStore::empty();
        for authority in authorities {
            roots.add(authority).map_err(keys)?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(ring::default_provider());
        let name = ServerName::try_from(CERTIFICATE_NAME).map_err(keys)?;
        Ok(Self {
            server: Arc::new(server(&provider, &roots, &chain, &key)?),
            client: Arc::new(client(&provider, &roots, &chain, &key)?),
            name,
            files,
        })
    }

    pub(super) fn differ(&self, other: &Self) -> bool {
        self.files != other.files
    }
}

fn server(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
) -> Result<ServerConfig, LinkError> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(provider))
            .build()
            .map_err(keys)?;
    let mut config = ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_safe_default_protocol_versions()
        .map_err(keys)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.to_vec(), key.clone_key())
        .map_err(keys)?;
    config.alpn_protocols.push(ALPN.to_vec());
    Ok(config)
}

fn client(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
) -> Result<ClientConfig, LinkError> {
    let mut config = ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_safe_default_protocol_versions()
        .map_err(keys)?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain.to_vec(), key.clone_key())
        .map_err(keys)?;
    config.alpn_protocols.push(ALPN.to_vec());
    Ok(config)
}

fn read(file: &Path) -> Result<Vec<u8>, LinkError> {
    std::fs::read(file).map_err(|error| LinkError::Read {
        file: file.to_owned(),
        error,
    })
}

fn certificates(file: &Path, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, LinkError> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    match all {
        Ok(all) if all.is_empty() => Err(form(file, "holds no certificate")),
        Ok(all) => Ok(all),
        Err(e) => Err(form(file, &e.to_string())),
    }
}

fn form(file: &Path, error: &str) -> LinkError {
    LinkError::Malformed {
        file: file.to_owned(),
        error: error.to_owned(),
    }
}

fn keys(error: impl std::fmt::Display) -> LinkError {
    LinkError::InvalidKeys(error.to_string())
}
