//! Starts an agent and stops it.

use crate::backend::Backend;
use crate::driver::{Driver, Inputs, Parts};
use crate::group::{Ground, Group};
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

/// Why an agent does not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum StartError {
    /// Another agent runs on this instance.
    #[error("{guard_address} is held: another agent runs on this instance ({cause})")]
    #[diagnostic(help("stop the other agent, or wait until it has drained"))]
    Guarded {
        /// The guard's address.
        guard_address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The address for links cannot be bound.
    #[error("cannot accept links on {link_address}: {cause}")]
    Listen {
        /// The address.
        link_address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The keys of links cannot be used.
    #[error(transparent)]
    Security(#[from] SecurityError),
    /// The operators' server does not start.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The HTTP client does not start.
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

/// Gives renewed keys to an agent, which opens links and accepts them.
struct LinksOfAgent {
    links: Links,
    listener: Arc<Listener>,
}

impl UseKeys for LinksOfAgent {
    fn use_keys(&self, keys: LinkKeys) {
        self.links.replace_keys(keys);
        self.listener.apply_keys();
    }
}

impl Agent {
    /// Starts an agent; it runs until [`Agent::drain`] or until it is dropped with its runtime.
    ///
    /// # Errors
    ///
    /// When an address is taken or the keys cannot be used.
    pub async fn start(settings: &Settings, exposition: Exposition) -> Result<Self, StartError> {
        let guard = hold_guard(settings.guard_address)?;
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
            Box::new(LinksOfAgent { links: links.clone(), listener: listener.clone() }),
            RenewalContext { trail: trail.clone(), status_source: view.clone(), clock },
        );
        let link_address = listener.address().unwrap_or(settings.link_address);
        let sources = PageSources { status_source: view.clone(), trail: trail.clone(), exposition };
        let operators = operators::mount(server::build(settings.operator_address), sources);
        let operators = server::start(settings.operator_address, operators).await?;
        let (platform_events, platform) = unbounded_channel();
        let (follow_mode, mode) = watch::channel(FollowMode::Watch);
        platform::follow(&settings.platform_url, mode, platform_events);
        let backend = Backend::new(&settings.backend_url, &settings.health_path, clock)?;
        let identity =
            AgentIdentity { incarnation, backend_server: settings.backend_server.clone() };
        let (engine_events, engine) = unbounded_channel();
        let ground = Ground {
            own: settings.backend_server.clone(),
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
        let (driver, backend_events) = Driver::new(Parts {
            group: Group::new(ground, links.clone()),
            core: AgentCore::new(identity, rand::random()),
            follower,
            own: settings.instance.clone(),
            links,
            backend,
            view,
            trail,
            clock,
        });
        let (drain, drain_asked) = oneshot::channel();
        let inputs = Inputs { links: link_events, platform, engine, drain: drain_asked };
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

    /// Where it accepts links.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Takes no new work, finishes what runs, and stops.
    pub async fn drain(mut self) {
        if let Some(drain) = self.drain.take() {
            let _ = drain.send(());
        }
        let _ = self.driver.await;
        self.operators.stop().await;
    }
}

/// Holds the guard's port for the agent's lifetime.
///
/// Two agents beside one backend server would each believe that they alone give it orders and
/// count its slots: one would see groups step on two maps, and more requests running than slots.
/// Two processes can't hold one port, and the system frees it when its holder dies.
fn hold_guard(guard_address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(guard_address).map_err(|cause| StartError::Guarded { guard_address, cause })
}
