//! Reads key files and builds the client and server TLS configurations.

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

/// The ALPN protocol identifier of HTTP/2, which gRPC requires.
const ALPN: &[u8] = b"h2";

/// The client and server configurations, built from the same key files.
pub(super) struct Keys {
    pub(super) server: Arc<ServerConfig>,
    pub(super) client: Arc<ClientConfig>,
    /// The name that a client expects in the server's certificate.
    pub(super) server_name: ServerName<'static>,
    /// Contents of the key files, to detect changes.
    contents: [Vec<u8>; 3],
}

impl Keys {
    pub(super) fn read(settings: &LinkSettings) -> Result<Self, LinkError> {
        let contents = [
            read_file(&settings.authority)?,
            read_file(&settings.certificate)?,
            read_file(&settings.key)?,
        ];
        let authorities = certificates(&settings.authority, &contents[0])?;
        let chain = certificates(&settings.certificate, &contents[1])?;
        let key = PrivateKeyDer::from_pem_slice(&contents[2])
            .map_err(|e| malformed(&settings.key, &e.to_string()))?;
        let mut roots = RootCertStore::empty();
        for authority in authorities {
            roots.add(authority).map_err(invalid_keys)?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(ring::default_provider());
        let server_name = ServerName::try_from(CERTIFICATE_NAME).map_err(invalid_keys)?;
        Ok(Self {
            server: Arc::new(server_config(&provider, &roots, &chain, &key)?),
            client: Arc::new(client_config(&provider, &roots, &chain, &key)?),
            server_name,
            contents,
        })
    }

    pub(super) fn differ_from(&self, other: &Self) -> bool {
        self.contents != other.contents
    }
}

fn server_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
) -> Result<ServerConfig, LinkError> {
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(provider))
            .build()
            .map_err(invalid_keys)?;
    let mut config = ServerConfig::builder_with_provider(Arc::clone(provider))
        .with_safe_default_protocol_versions()
        .map_err(invalid_keys)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.to_vec(), key.clone_key())
        .map_err(invalid_keys)?;
    config.alpn_protocols.push(ALPN.to_vec());
    Ok(config)
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    roots: &Arc<RootCertStore>,
    chain: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
) -> Result<ClientConfig, LinkError> {
    let mut config = ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_safe_default_protocol_versions()
        .map_err(invalid_keys)?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain.to_vec(), key.clone_key())
        .map_err(invalid_keys)?;
    config.alpn_protocols.push(ALPN.to_vec());
    Ok(config)
}

fn read_file(file: &Path) -> Result<Vec<u8>, LinkError> {
    std::fs::read(file).map_err(|error| LinkError::Read {
        file: file.to_owned(),
        error,
    })
}

fn certificates(file: &Path, pem: &[u8]) -> Result<Vec<CertificateDer<'static>>, LinkError> {
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    match all {
        Ok(all) if all.is_empty() => Err(malformed(file, "the file contains no certificate")),
        Ok(all) => Ok(all),
        Err(e) => Err(malformed(file, &e.to_string())),
    }
}

fn malformed(file: &Path, error: &str) -> LinkError {
    LinkError::Malformed {
        file: file.to_owned(),
        error: error.to_owned(),
    }
}

fn invalid_keys(error: impl std::fmt::Display) -> LinkError {
    LinkError::InvalidKeys(error.to_string())
}
