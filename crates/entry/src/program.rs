//! Starts an entry and stops it.

use crate::callers::Callers;
use crate::catalog::Catalog;
use crate::console::{self, Console};
use crate::driver::{Driver, Inputs, Parts};
use crate::observed::Observed;
use crate::policies;
use crate::settings::Settings;
use hickorycross_core::adoption::StartGate;
use hickorycross_core::entry::{EntryCore, EntryIdentity};
use hickorycross_core::{Incarnation, LinkId};
use hickorycross_protocol::PeerRole;
use hickorycross_runtime::clock::SteadyClock;
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::link::Links;
use hickorycross_runtime::operators::{self, Views};
use hickorycross_runtime::platform::{self, Follow};
use hickorycross_runtime::security::{LinkKeys, SecurityError};
use hickorycross_runtime::server::{self, Running, ServeError};
use hickorycross_runtime::trail::Trail;
use hickorycross_runtime::view::View;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::{oneshot, watch};

/// Numbers of links from here on belong to the start gate; the core counts from one.
const FIRST_GATE_LINK: LinkId = LinkId(1 << 62);
/// After its readiness check begins to fail, an entry still serves for so long: the platform's
/// balancer needs a few checks to notice.
const BALANCER_NOTICE: Duration = Duration::from_secs(3);

/// Why an entry does not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The keys of links cannot be used.
    #[error(transparent)]
    Security(#[from] SecurityError),
    /// A server does not start.
    #[error(transparent)]
    Serve(#[from] ServeError),
}

/// A running entry.
pub struct Entry {
    driver: tokio::task::JoinHandle<()>,
    drain: Option<oneshot::Sender<()>>,
    view: Arc<View>,
    callers: Callers,
    server: Running,
    operators: Running,
}

impl Entry {
    /// Starts an entry; it runs until [`Entry::drain`] or until its runtime is dropped.
    ///
    /// # Errors
    ///
    /// When an address is taken or the keys cannot be used.
    pub async fn start(settings: &Settings, exposition: Exposition) -> Result<Self, StartError> {
        let clock = SteadyClock::start();
        let incarnation = Incarnation(rand::random());
        let view =
            Arc::new(View::new(clock, settings.instance.clone(), incarnation, PeerRole::Entry));
        let trail = Arc::new(Trail::default());
        let catalog = Arc::new(Catalog::default());
        let observed = Arc::new(Observed::default());
        let keys = LinkKeys::load(&settings.link_security)?;
        let (links, link_events) = Links::new(keys, view.clone());
        let (inbound, caller_events) = unbounded_channel();
        let callers = Callers::new(
            incarnation,
            inbound,
            clock,
            settings.body_limit_bytes,
            settings.open_requests,
            catalog.clone(),
        );
        let server = server::build(settings.caller_address).mount("/", callers.routes());
        let caller_server = server::start(settings.caller_address, server).await?;
        let views = Views { inspect: view.clone(), trail: trail.clone(), exposition };
        let server = operators::mount(server::build(settings.operator_address), views);
        let console =
            Console::new(&settings.operators, clock, view.clone(), trail.clone(), observed.clone());
        let server = console::mount(server, console);
        let operators = server::start(settings.operator_address, server).await?;
        let (platform_events, platform) = unbounded_channel();
        let (follow, mode) = watch::channel(Follow::Watch);
        platform::follow(&settings.platform_url, mode, platform_events);
        let identity =
            EntryIdentity { incarnation, failure_domain: settings.failure_domain.clone() };
        let seed = rand::random();
        let driver = Driver::new(Parts {
            core: EntryCore::new(identity, policies::production(seed), seed),
            gate: StartGate::new(settings.instance.clone(), FIRST_GATE_LINK),
            own: settings.instance.clone(),
            links,
            view: view.clone(),
            trail,
            catalog,
            observed,
            clock,
            follow,
        });
        let (drain, drain_asked) = oneshot::channel();
        let inputs =
            Inputs { callers: caller_events, links: link_events, platform, drain: drain_asked };
        let driver = tokio::spawn(driver.run(inputs));
        Ok(Self { driver, drain: Some(drain), view, callers, server: caller_server, operators })
    }

    /// Fails the readiness check, waits until the balancer has noticed, finishes open answers, and
    /// stops.
    pub async fn drain(mut self) {
        self.view.update(|status| status.draining = true);
        tokio::time::sleep(BALANCER_NOTICE).await;
        if let Some(drain) = self.drain.take() {
            let _ = drain.send(());
        }
        let _ = self.driver.await;
        self.callers.wait_until_idle().await;
        self.server.stop().await;
        self.operators.stop().await;
    }
}
