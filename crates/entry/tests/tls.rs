//! Keys of links and of callers: who gets in, and how keys are renewed.

mod local;

use googletest::prelude::*;
use hickorycross_core::{Incarnation, InstanceId, LinkId};
use hickorycross_entry::CallerTls;
use hickorycross_entry::demo::Stage;
use hickorycross_protocol::{Hello, PeerRole, SUPPORTED_VERSIONS};
use hickorycross_runtime::clock::SteadyClock;
use hickorycross_runtime::link::{HelloSource, LinkEvent, Links, Listener};
use hickorycross_runtime::security::authority::{AUTHORITY_FILE, Authority, Holder};
use hickorycross_runtime::security::renewal::{self, RenewalContext, UseKeys};
use hickorycross_runtime::security::{AGENT_NAME, KeyFiles, LinkKeys, LinkSecurity};
use hickorycross_runtime::trail::{Trail, TrailEntry as Record};
use hickorycross_runtime::view::ProcessView;
use local::{LocalFleet, wait_for};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::mpsc::UnboundedReceiver;

const VALID_DAYS: u16 = 2;

static NEXT_DIRECTORY: AtomicU32 = AtomicU32::new(1);

/// A directory with keys, removed with the test.
struct Keys(PathBuf);

impl Keys {
    fn make() -> Self {
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let name = format!("hickorycross-keys-{}-{number}", std::process::id());
        let keys = Self(std::env::temp_dir().join(name));
        keys.issue();
        keys
    }

    /// Makes certificates of the directory's authority, in place of those before.
    fn issue(&self) {
        let authority = Authority::open_or_create(&self.0).expect("an authority");
        for holder in [Holder::Entry, Holder::Agent] {
            authority.issue(holder, VALID_DAYS).expect("a certificate");
        }
    }

    fn files(&self, holder: Holder) -> KeyFiles {
        KeyFiles {
            authority_file: self.0.join(AUTHORITY_FILE),
            certificate_file: self.0.join(holder.certificate_file()),
            key_file: self.0.join(holder.key_file()),
        }
    }

    fn security(&self, holder: Holder) -> LinkSecurity {
        LinkSecurity::MutualTls(self.files(holder))
    }
}

impl Drop for Keys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Role(PeerRole);

impl HelloSource for Role {
    fn hello(&self) -> Hello {
        Hello {
            versions: SUPPORTED_VERSIONS,
            instance: InstanceId::new("test"),
            incarnation: Incarnation(1),
            role: self.0.clone(),
            stamp: hickorycross_config::Stamp::NONE,
        }
    }
}

fn agent_role() -> PeerRole {
    PeerRole::Agent { backend_server: "one".into() }
}

fn links(security: &LinkSecurity, role: PeerRole) -> (Links, UnboundedReceiver<LinkEvent>) {
    let keys = LinkKeys::load(security).expect("keys");
    Links::new(keys, Arc::new(Role(role)))
}

/// Opens one link and tells whether it came up.
async fn comes_up(security: &LinkSecurity, role: PeerRole, address: SocketAddr) -> bool {
    let (links, mut events) = links(security, role);
    links.open(LinkId(1), address);
    matches!(events.recv().await, Some(LinkEvent::Opened { .. }))
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

// Symptom: a stranger answers callers in the place of an agent, or gives agents work.
// Sequence: it opens or accepts a link with keys of its own, with none, or with stolen keys of
// another role.
// Cause: one end not checked, or only the authority's signature and not the role.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_the_right_keys_bring_a_link_up() {
    struct Case {
        name: &'static str,
        accepts: LinkSecurity,
        opens: LinkSecurity,
        role: PeerRole,
        comes_up: bool,
    }
    let (own, other) = (Keys::make(), Keys::make());
    let agent = || own.security(Holder::Agent);
    let entry = || own.security(Holder::Entry);
    let none = || LinkSecurity::DevelopmentUnauthenticated;
    let stranger = |holder| other.security(holder);
    let cases = [
        Case {
            name: "entry to agent",
            accepts: agent(),
            opens: entry(),
            role: PeerRole::Entry,
            comes_up: true,
        },
        Case {
            name: "agent to agent",
            accepts: agent(),
            opens: agent(),
            role: agent_role(),
            comes_up: true,
        },
        Case {
            name: "wrong authority opens",
            accepts: agent(),
            opens: stranger(Holder::Entry),
            role: PeerRole::Entry,
            comes_up: false,
        },
        Case {
            name: "wrong authority accepts",
            accepts: stranger(Holder::Agent),
            opens: entry(),
            role: PeerRole::Entry,
            comes_up: false,
        },
        Case {
            name: "no certificate",
            accepts: agent(),
            opens: none(),
            role: PeerRole::Entry,
            comes_up: false,
        },
        Case {
            name: "unauthenticated agent",
            accepts: none(),
            opens: entry(),
            role: PeerRole::Entry,
            comes_up: false,
        },
        Case {
            name: "entry's key accepts",
            accepts: entry(),
            opens: entry(),
            role: PeerRole::Entry,
            comes_up: false,
        },
        Case {
            name: "entry's key opens as agent",
            accepts: agent(),
            opens: entry(),
            role: agent_role(),
            comes_up: false,
        },
        Case {
            name: "agent's key opens as entry",
            accepts: agent(),
            opens: agent(),
            role: PeerRole::Entry,
            comes_up: false,
        },
    ];
    for case in cases {
        let (accepting, mut accepted) = links(&case.accepts, agent_role());
        let listener = accepting.listen(any_port()).expect("a port");
        let address = listener.address().expect("its address");
        let is_up = comes_up(&case.opens, case.role, address).await;
        expect_that!(is_up, eq(case.comes_up), "{}", case.name);
        let was_told = accepted.try_recv().is_ok();
        expect_that!(was_told, eq(case.comes_up), "{}: the accepting end", case.name);
    }
}

struct Renewed {
    links: Links,
    listener: Arc<Listener>,
}

impl UseKeys for Renewed {
    fn use_keys(&self, keys: LinkKeys) {
        self.links.replace_keys(keys);
        self.listener.apply_keys();
    }
}

fn renewals(trail: &Trail) -> Vec<Record> {
    trail.since(1)
}

/// Copies the files of one directory over those of another.
fn copy_keys(from: &Path, to: &Path) {
    for name in [AUTHORITY_FILE, Holder::Agent.key_file(), Holder::Agent.certificate_file()] {
        std::fs::copy(from.join(name), to.join(name)).expect("a copy");
    }
}

// Symptom: all links of a process fail at one moment, though its renewed certificate lies ready;
// or a half-written file takes a running process down.
// Sequence: the files are replaced by ones that cannot be used, then by good ones.
// Cause: keys read only at start, or given up before the new ones are known to be good.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn renewed_files_are_taken_up_and_broken_ones_are_not() {
    let (old, new) = (Keys::make(), Keys::make());
    let (links, _events) = links(&old.security(Holder::Agent), agent_role());
    let listener = Arc::new(links.listen(any_port()).expect("a port"));
    let address = listener.address().expect("its address");
    let trail = Arc::new(Trail::default());
    let clock = SteadyClock::start();
    let view = ProcessView::new(clock, InstanceId::new("test"), Incarnation(1), agent_role());
    let context =
        RenewalContext { trail: Arc::clone(&trail), status_source: Arc::new(view), clock };
    let target = Box::new(Renewed { links, listener });
    let old_entry = LinkSecurity::MutualTls(copied_entry(&old));
    let security = old.security(Holder::Agent);
    let _renewal = renewal::watch(&security, target, context);

    std::fs::write(old.0.join(Holder::Agent.certificate_file()), "half a certif").expect("written");
    // Longer than two looks at the files.
    tokio::time::sleep(std::time::Duration::from_secs(5)).await;
    expect_that!(renewals(&trail), len(eq(0)));
    expect_that!(comes_up(&old_entry, PeerRole::Entry, address).await, eq(true));

    copy_keys(&new.0, &old.0);
    wait_for("renewed keys", async || {
        comes_up(&new.security(Holder::Entry), PeerRole::Entry, address).await
    })
    .await;
    expect_that!(comes_up(&old_entry, PeerRole::Entry, address).await, eq(false));
    let kinds = renewals(&trail);
    let kinds = kinds.iter().map(|entry| serde_json::to_value(&entry.record.change));
    let kinds: Vec<_> = kinds.flatten().map(|change| change["kind"].to_string()).collect();
    expect_that!(kinds, len(ge(1)));
    expect_that!(kinds, each(eq("\"key_renewed\"")));
}

/// The entry's keys in a directory of their own, with the authority as it is now.
fn copied_entry(keys: &Keys) -> KeyFiles {
    let files = keys.files(Holder::Entry);
    let authority_file = keys.0.join("authority-before.pem");
    std::fs::copy(&files.authority_file, &authority_file).expect("a copy");
    KeyFiles { authority_file, ..files }
}

/// The whole path with mutual TLS, and a renewal while it runs.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_whole_path_runs_on_keys_and_goes_on_when_they_are_renewed() -> googletest::Result<()> {
    let keys = Keys::make();
    let secure = |stage: &mut Stage| {
        let agents = stage.agents.iter_mut();
        agents.for_each(|settings| settings.link_security = keys.security(Holder::Agent));
        let entries = stage.entries.iter_mut();
        entries.for_each(|settings| settings.link_security = keys.security(Holder::Entry));
    };
    let local = LocalFleet::start(secure).await;
    let ask = || local.request(reqwest::Method::GET, "/textbook/words").send();
    expect_that!(ask().await.or_fail()?.status().as_u16(), eq(200));
    keys.issue();
    let operators =
        [local.stage.entries[0].operator_address, local.stage.agents[0].operator_address];
    for address in operators {
        wait_for("an audit record", async || {
            let answer = local.client.get(format!("http://{address}/audit")).send().await;
            let Ok(answer) = answer else { return false };
            answer.text().await.is_ok_and(|text| text.contains("\"key_renewed\""))
        })
        .await;
    }
    expect_that!(ask().await.or_fail()?.status().as_u16(), eq(200));
    Ok(())
}

/// Callers reach an entry over TLS, and not without.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_may_use_tls() -> googletest::Result<()> {
    let keys = Keys::make();
    let files = keys.files(Holder::Agent);
    let secure = |stage: &mut Stage| {
        stage.entries[0].caller_tls = Some(CallerTls {
            certificate_file: files.certificate_file.clone(),
            key_file: files.key_file.clone(),
        });
    };
    let local = LocalFleet::start_entry_only(secure).await;
    let address = local.caller_address();
    let authority = CertificateDer::from_pem_file(&files.authority_file).or_fail()?;
    let answer = tokio::task::spawn_blocking(move || ask_over_tls(address, authority));
    let answer = answer.await.or_fail()?.or_fail()?;
    expect_that!(answer, starts_with("HTTP/1.1 401"));
    expect_that!(answer, contains_substring("\"verdict\":\"not_run\""));
    let plain = local.client.get(format!("http://{address}/v1/models")).send().await;
    expect_that!(plain.is_err(), eq(true));
    Ok(())
}

fn ask_over_tls(
    address: SocketAddr,
    authority: CertificateDer<'static>,
) -> std::io::Result<String> {
    let mut roots = rustls::RootCertStore::empty();
    roots.add(authority).map_err(std::io::Error::other)?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(std::io::Error::other)?
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from(AGENT_NAME).map_err(std::io::Error::other)?;
    let mut connection =
        rustls::ClientConnection::new(Arc::new(config), name).map_err(std::io::Error::other)?;
    let mut socket = TcpStream::connect(address)?;
    let mut stream = rustls::Stream::new(&mut connection, &mut socket);
    stream.write_all(b"GET /v1/models HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
