//! Start and shutdown of an agent.

use crate::backend::BackendClient;
use crate::driver::{Driver, DriverInputs, DriverParts};
use crate::group::{Group, GroupContext};
use crate::settings::Settings;
use hickorycross_core::agent::{AgentCore, AgentIdentity};
use hickorycross_core::{Incarnation, LinkId};
use hickorycross_protocol::PeerRole;
use hickorycross_runtime::clock::SteadyClock;
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::follower::{ConfigFollower, FollowerParts};
use hickorycross_runtime::link::{Links, Listener};
use hickorycross_runtime::operators::{self, PageSources};
use hickorycross_runtime::platform::{self, FollowMode};
use hickorycross_runtime::security::renewal::{self, Renewal, RenewalContext, UseKeys};
use hickorycross_runtime::security::{LinkKeys, SecurityError};
use hickorycross_runtime::server::{self, RunningServer, ServeError};
use hickorycross_runtime::trail::Trail;
use hickorycross_runtime::view::ProcessView;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::{oneshot, watch};

/// An error that prevents an agent from starting.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// The guard address is in use: another agent runs on this instance.
    #[error("{guard_address} is held: another agent runs on this instance ({cause})")]
    #[diagnostic(help("stop the other agent, or wait until it has drained"))]
    GuardAddressInUse {
        /// The guard address.
        guard_address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The link address cannot be bound.
    #[error("cannot accept links on {link_address}: {cause}")]
    Listen {
        /// The address.
        link_address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The TLS keys of links cannot be loaded or used.
    #[error(transparent)]
    Security(#[from] SecurityError),
    /// The HTTP server for operators does not start.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The HTTP client for the backend server cannot be created.
    #[error("no HTTP client: {0}")]
    Client(#[from] reqwest::Error),
}

/// A running agent.
pub struct Agent {
    driver: tokio::task::JoinHandle<()>,
    drain: Option<oneshot::Sender<()>>,
    operators: RunningServer,
    link_address: SocketAddr,
    _guard: TcpListener,
    _renewal: Renewal,
}

/// Installs renewed TLS keys for the links that an agent opens and for those that it accepts.
struct LinkKeyUpdater {
    links: Links,
    listener: Arc<Listener>,
}

impl UseKeys for LinkKeyUpdater {
    fn use_keys(&self, keys: LinkKeys) {
        self.links.replace_keys(keys);
        self.listener.apply_keys();
    }
}

impl Agent {
    /// Starts an agent. It runs until [`Agent::drain`] is called or its runtime is shut down.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, the keys cannot be used, or the HTTP
    /// client cannot be created.
    pub async fn start(settings: &Settings, exposition: Exposition) -> Result<Self, StartError> {
        let guard = bind_guard(settings.guard_address)?;
        let clock = SteadyClock::start();
        let incarnation = Incarnation(rand::random());
        let role = PeerRole::Agent { backend_server: settings.backend_server.clone() };
        let view = Arc::new(ProcessView::new(clock, settings.instance.clone(), incarnation, role));
        let trail = Arc::new(Trail::default());
        let keys = LinkKeys::load(&settings.link_security)?;
        let (links, link_events) = Links::new(keys, view.clone());
        let listener = links
            .listen(settings.link_address)
            .map_err(|cause| StartError::Listen { link_address: settings.link_address, cause })?;
        let listener = Arc::new(listener);
        let renewal = renewal::watch(
            &settings.link_security,
            Box::new(LinkKeyUpdater { links: links.clone(), listener: listener.clone() }),
            RenewalContext { trail: trail.clone(), status_source: view.clone(), clock },
        );
        let link_address = listener.address().unwrap_or(settings.link_address);
        let sources = PageSources { status_source: view.clone(), trail: trail.clone(), exposition };
        let operators = operators::mount(server::build(settings.operator_address), sources);
        let operators = server::start(settings.operator_address, operators).await?;
        let (platform_events, platform) = unbounded_channel();
        let (follow_mode, mode) = watch::channel(FollowMode::Watch);
        platform::follow(&settings.platform_url, mode, platform_events);
        let backend = BackendClient::new(&settings.backend_url, &settings.health_path, clock)?;
        let identity =
            AgentIdentity { incarnation, backend_server: settings.backend_server.clone() };
        let (engine_events, engine) = unbounded_channel();
        let group_context = GroupContext {
            own_server: settings.backend_server.clone(),
            incarnation,
            backend_url: settings.backend_url.clone(),
            events: engine_events,
        };
        let follower = ConfigFollower::new(FollowerParts {
            own: settings.instance.clone(),
            first_gate_link: LinkId(0),
            links: links.clone(),
            view: view.clone(),
            trail: trail.clone(),
            follow_mode,
        });
        let (driver, backend_events) = Driver::new(DriverParts {
            group: Group::new(group_context, links.clone()),
            core: AgentCore::new(identity, rand::random()),
            follower,
            instance: settings.instance.clone(),
            links,
            backend,
            view,
            trail,
            clock,
        });
        let (drain, drain_requested) = oneshot::channel();
        let inputs = DriverInputs { links: link_events, platform, engine, drain: drain_requested };
        let driver = tokio::spawn(async move {
            driver.run(inputs, backend_events).await;
            listener.close();
        });
        Ok(Self {
            driver,
            drain: Some(drain),
            operators,
            link_address,
            _guard: guard,
            _renewal: renewal,
        })
    }

    /// Returns the address on which the agent accepts links.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Shuts the agent down gracefully: refuses new requests and waits until running ones have
    /// finished.
    pub async fn drain(mut self) {
        if let Some(drain) = self.drain.take() {
            let _ = drain.send(());
        }
        let _ = self.driver.await;
        self.operators.stop().await;
    }
}

/// Binds the guard address, which makes sure that only one agent runs on an instance.
///
/// Two agents beside one backend server would each act as the only one that sends it orders and
/// counts its slots. Its group could then run steps on two maps, and more requests could run than
/// there are slots. Only one process can bind the port, and the operating system releases it when
/// that process dies.
fn bind_guard(guard_address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(guard_address)
        .map_err(|cause| StartError::GuardAddressInUse { guard_address, cause })
}
