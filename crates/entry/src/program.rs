//! Starts and stops an entry: sets up its servers, links and driver, and drains it.

use crate::callers::{CallerHandler, CallerLimits, catchers};
use crate::catalog::Catalog;
use crate::console::{self, Console};
use crate::console_state::ConsoleState;
use crate::driver::{Driver, DriverParts, EventSources};
use crate::settings::Settings;
use hickorycross_core::entry::{EntryCore, EntryIdentity, EntryPolicies};
use hickorycross_core::{Incarnation, LinkId};
use hickorycross_protocol::PeerRole;
use hickorycross_runtime::clock::SteadyClock;
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::follower::{ConfigFollower, FollowerParts};
use hickorycross_runtime::link::Links;
use hickorycross_runtime::operators::{self, PageSources};
use hickorycross_runtime::platform::{self, FollowMode};
use hickorycross_runtime::security::renewal::{self, Renewal, RenewalContext, UseKeys};
use hickorycross_runtime::security::{LinkKeys, SecurityError};
use hickorycross_runtime::server::{self, RunningServer, ServeError, TlsFiles};
use hickorycross_runtime::trail::Trail;
use hickorycross_runtime::view::ProcessView;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// First link id used by the configuration follower. The core numbers its links from one, so that
/// the ids don't collide.
const FIRST_GATE_LINK: LinkId = LinkId(1 << 62);

/// An error that keeps an entry from starting.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The keys and certificates for links cannot be used.
    #[error(transparent)]
    Security(#[from] SecurityError),
    /// An HTTP server cannot be started.
    #[error(transparent)]
    Serve(#[from] ServeError),
}

/// A running entry.
pub struct Entry {
    driver: tokio::task::JoinHandle<()>,
    drain: Option<oneshot::Sender<()>>,
    view: Arc<ProcessView>,
    callers: CallerHandler,
    server: RunningServer,
    operators: RunningServer,
    /// Time from the moment the readiness check fails until the drain begins. The platform's
    /// balancer needs a few checks to notice the failure; requests that it sends until then are
    /// still served.
    balancer_notice_ms: u64,
    _renewal: Renewal,
}

/// Passes renewed keys to an entry's links. An entry only opens links and accepts none.
struct EntryLinks(Links);

impl UseKeys for EntryLinks {
    fn use_keys(&self, keys: LinkKeys) {
        self.0.replace_keys(keys);
    }
}

impl Entry {
    /// Starts an entry. It runs until [`Entry::drain`] returns or its runtime is dropped.
    ///
    /// # Errors
    ///
    /// Fails if an address is already in use or the keys cannot be used.
    pub async fn start(settings: &Settings, exposition: Exposition) -> Result<Self, StartError> {
        let clock = SteadyClock::start();
        let incarnation = Incarnation(rand::random());
        let view = Arc::new(ProcessView::new(
            clock,
            settings.instance.clone(),
            incarnation,
            PeerRole::Entry,
        ));
        let trail = Arc::new(Trail::default());
        let catalog = Arc::new(Catalog::default());
        let console_state = Arc::new(ConsoleState::default());
        let keys = LinkKeys::load(&settings.link_security)?;
        let (links, link_events) = Links::new(keys, view.clone());
        let (caller_sender, caller_events) = unbounded_channel();
        let callers = CallerHandler::new(
            incarnation,
            caller_sender,
            clock,
            caller_limits(settings),
            catalog.clone(),
        );
        let server = server::build_with_tls(settings.caller_address, caller_tls(settings))
            .mount("/", callers.routes())
            .register("/", catchers(&callers));
        let caller_server = server::start(settings.caller_address, server).await?;
        let sources = PageSources { status_source: view.clone(), trail: trail.clone(), exposition };
        let server = operators::mount(server::build(settings.operator_address), sources);
        let console = Console::new(
            &settings.operators,
            clock,
            view.clone(),
            trail.clone(),
            console_state.clone(),
        );
        let server = console::mount(server, console);
        let operators = server::start(settings.operator_address, server).await?;
        let context = RenewalContext { trail: trail.clone(), status_source: view.clone(), clock };
        let renewal =
            renewal::watch(&settings.link_security, Box::new(EntryLinks(links.clone())), context);
        let (platform_events, platform) = unbounded_channel();
        let (follow_mode, mode) = watch::channel(FollowMode::Watch);
        platform::follow(&settings.platform_url, mode, platform_events);
        let identity =
            EntryIdentity { incarnation, failure_domain: settings.failure_domain.clone() };
        let seed = rand::random();
        let follower = ConfigFollower::new(FollowerParts {
            own: settings.instance.clone(),
            first_gate_link: FIRST_GATE_LINK,
            links: links.clone(),
            view: view.clone(),
            trail: trail.clone(),
            follow_mode,
        });
        let driver = Driver::new(DriverParts {
            core: EntryCore::new(identity, EntryPolicies::production(seed), seed),
            follower,
            instance: settings.instance.clone(),
            links,
            view: view.clone(),
            trail,
            catalog,
            console_state,
            clock,
        });
        let (drain, drain_requested) = oneshot::channel();
        let sources = EventSources {
            callers: caller_events,
            links: link_events,
            platform,
            drain: drain_requested,
        };
        let driver = tokio::spawn(driver.run(sources));
        Ok(Self {
            driver,
            drain: Some(drain),
            view,
            callers,
            server: caller_server,
            operators,
            balancer_notice_ms: settings.balancer_notice_ms,
            _renewal: renewal,
        })
    }

    /// Drains and stops the entry: fails the readiness check, waits for the balancer to notice,
    /// completes open answers, and stops the servers.
    pub async fn drain(mut self) {
        self.view.update(|status| status.draining = true);
        let noticed = Instant::now() + Duration::from_millis(self.balancer_notice_ms);
        tokio::time::sleep_until(noticed).await;
        if let Some(drain) = self.drain.take() {
            let _ = drain.send(());
        }
        let _ = self.driver.await;
        self.callers.wait_until_idle().await;
        self.server.stop().await;
        self.operators.stop().await;
    }
}

fn caller_limits(settings: &Settings) -> CallerLimits {
    CallerLimits {
        body_limit_bytes: settings.body_limit_bytes,
        body_timeout_ms: settings.body_timeout_ms,
        open_requests: settings.open_requests,
    }
}

fn caller_tls(settings: &Settings) -> Option<TlsFiles<'_>> {
    let tls = settings.caller_tls.as_ref()?;
    Some(TlsFiles { certificate_file: &tls.certificate_file, key_file: &tls.key_file })
}
