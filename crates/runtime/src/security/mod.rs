//! TLS keys and certificates of the links between processes.
//!
//! Both ends of a link present a certificate issued by the fleet's own certificate authority. Its
//! name states the role of the process ([`ENTRY_NAME`], [`AGENT_NAME`]), so that the key of an
//! entry cannot be used to impersonate an agent.
//!
//! [`authority`] issues such certificates; [`renewal`] loads renewed files without a restart.

pub mod authority;
pub mod renewal;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::{ParsedCertificate, WebPkiClientVerifier};
use rustls::{DigitallySignedStruct, RootCertStore, SignatureScheme};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Name in the certificate of an entry.
pub const ENTRY_NAME: &str = "entry.hickorycross.internal";

/// Name in the certificate of an agent.
pub const AGENT_NAME: &str = "agent.hickorycross.internal";

/// Protocol name for ALPN in the TLS handshake.
const ALPN: &[u8] = b"hickorycross";

/// The files with the key and the certificates of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyFiles {
    /// Certificate of the fleet's authority, in PEM.
    pub authority_file: PathBuf,
    /// Certificate of this process, in PEM.
    pub certificate_file: PathBuf,
    /// Private key of this process, in PEM.
    pub key_file: PathBuf,
}

impl KeyFiles {
    /// Returns the paths of all files.
    #[must_use]
    pub fn paths(&self) -> [&Path; 3] {
        [&self.authority_file, &self.certificate_file, &self.key_file]
    }
}

/// How links are secured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkSecurity {
    /// Both ends present a certificate issued by the fleet's authority.
    MutualTls(KeyFiles),
    /// Links are encrypted, but neither end is authenticated. For development only.
    DevelopmentUnauthenticated,
}

/// The reason why keys cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SecurityError {
    /// A file cannot be read as PEM.
    #[error("cannot read {path}: {cause}")]
    File {
        /// Its path.
        path: String,
        /// The error of the PEM reader.
        cause: String,
    },
    /// The TLS library rejected a key or a certificate.
    #[error("keys cannot be used: {0}")]
    Tls(#[from] rustls::Error),
    /// No verifier can be built from the authority's certificate, or no cipher suite fits QUIC.
    #[error("the authority cannot be used: {0}")]
    Authority(String),
    /// The self-signed certificate for development cannot be created.
    #[error("cannot create a development certificate: {0}")]
    Development(String),
}

/// The TLS configurations with which a process opens and accepts links.
#[derive(Clone)]
pub struct LinkKeys {
    /// Configuration of links that this process opens.
    pub client: quinn::ClientConfig,
    /// Configuration of links that this process accepts.
    pub server: quinn::ServerConfig,
    /// Whether the role in a peer's hello has to match its certificate.
    pub checks_roles: bool,
}

impl LinkKeys {
    /// Loads the keys; without authentication, creates a self-signed certificate.
    ///
    /// # Errors
    ///
    /// If a file cannot be read, or the key and the certificates do not match.
    pub fn load(security: &LinkSecurity) -> Result<Self, SecurityError> {
        match security {
            LinkSecurity::MutualTls(files) => mutual_tls(files),
            LinkSecurity::DevelopmentUnauthenticated => {
                log::warn!(
                    target: "security",
                    link_security = "development_unauthenticated";
                    "links are not authenticated; use this for development only"
                );
                unauthenticated()
            }
        }
    }
}

/// Whether a peer's certificate is valid for a name.
#[must_use]
pub fn certificate_names(connection: &quinn::Connection, name: &'static str) -> bool {
    let Some(identity) = connection.peer_identity() else {
        return false;
    };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else {
        return false;
    };
    let Some(Ok(certificate)) = chain.first().map(ParsedCertificate::try_from) else {
        return false;
    };
    let Ok(name) = ServerName::try_from(name) else {
        return false;
    };
    rustls::client::verify_server_name(&certificate, &name).is_ok()
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn mutual_tls(files: &KeyFiles) -> Result<LinkKeys, SecurityError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(&files.authority_file)? {
        roots.add(certificate)?;
    }
    let roots = Arc::new(roots);
    let chain = read_certificates(&files.certificate_file)?;
    let key = read_key(&files.key_file)?;
    let client = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(Arc::clone(&roots))
        .with_client_auth_cert(chain.clone(), key.clone_key())?;
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider())
        .build()
        .map_err(|error| SecurityError::Authority(error.to_string()))?;
    let server = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)?;
    build_quic_configs(client, server, true)
}

fn unauthenticated() -> Result<LinkKeys, SecurityError> {
    let development = |error: rcgen::Error| SecurityError::Development(error.to_string());
    let own =
        rcgen::generate_simple_self_signed(vec![AGENT_NAME.to_owned()]).map_err(development)?;
    let key = PrivateKeyDer::try_from(own.signing_key.serialize_der())
        .map_err(|error| SecurityError::Development(error.to_owned()))?;
    let client = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAny(provider())))
        .with_no_client_auth();
    let server = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_no_client_auth()
        .with_single_cert(vec![own.cert.der().clone()], key)?;
    build_quic_configs(client, server, false)
}

fn build_quic_configs(
    mut client: rustls::ClientConfig,
    mut server: rustls::ServerConfig,
    checks_roles: bool,
) -> Result<LinkKeys, SecurityError> {
    client.alpn_protocols = vec![ALPN.to_vec()];
    server.alpn_protocols = vec![ALPN.to_vec()];
    let no_suite = |error: quinn::crypto::rustls::NoInitialCipherSuite| {
        SecurityError::Authority(error.to_string())
    };
    let client = QuicClientConfig::try_from(client).map_err(no_suite)?;
    let server = QuicServerConfig::try_from(server).map_err(no_suite)?;
    Ok(LinkKeys {
        client: quinn::ClientConfig::new(Arc::new(client)),
        server: quinn::ServerConfig::with_crypto(Arc::new(server)),
        checks_roles,
    })
}

fn read_certificates(path: &PathBuf) -> Result<Vec<CertificateDer<'static>>, SecurityError> {
    let unreadable = |error: rustls::pki_types::pem::Error| SecurityError::File {
        path: path.display().to_string(),
        cause: error.to_string(),
    };
    CertificateDer::pem_file_iter(path)
        .map_err(unreadable)?
        .collect::<Result<Vec<_>, _>>()
        .map_err(unreadable)
}

fn read_key(path: &PathBuf) -> Result<PrivateKeyDer<'static>, SecurityError> {
    PrivateKeyDer::from_pem_file(path).map_err(|error| SecurityError::File {
        path: path.display().to_string(),
        cause: error.to_string(),
    })
}

/// Accepts any server certificate; the signatures of the handshake are still verified.
#[derive(Debug)]
struct AcceptAny(Arc<CryptoProvider>);

impl ServerCertVerifier for AcceptAny {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, certificate, signature, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}
