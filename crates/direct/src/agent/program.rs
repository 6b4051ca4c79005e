//! A running agent.

use super::fleet::{self, Fleet};
use super::member::Member;
use super::rank::RankClients;
use super::{bulk, hear, lead, stand_in, tell};
use crate::decision_log::DecisionLog;
use crate::operators::{self, AgentPages};
use crate::process::{Process, cannot_listen, end, listen};
use crate::settings::{ProcessSettings, SettingsSource};
use miette::{Context, IntoDiagnostic};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// When the settings name no backend server, its address cannot be listened at, or the system gives
/// no signals or threads.
pub async fn run_agent(
    settings: ProcessSettings,
    engines: Rc<dyn RankClients>,
    source: Box<dyn SettingsSource>,
) -> miette::Result<()> {
    let Process { exposition, log, mut signals, reload } = Process::start(source)?;
    let backend = settings.backend.ok_or_else(|| miette::miette!("no backend server is named"))?;
    let service = settings.service.clone().unwrap_or_default();
    let address = SocketAddr::new(backend.ip(), settings.agent_port);
    let socket = UdpSocket::bind(address)
        .await
        .into_diagnostic()
        .wrap_err_with(|| cannot_listen(address))?;
    let listener = listen(address).await?;
    tokio::task::spawn_local(operators::serve(listener, Rc::new(AgentPages(exposition))));
    let line = DecisionLog::fields("start").with("instance", &settings.instance);
    let line = line.with("backend", backend).with("service", &service);
    log.note(line.with("fences_orders", settings.bounds.fences_orders));
    let fleet = Fleet::new(log.clone(), &service, &settings.seeds);
    let heeds_fences = settings.bounds.fences_orders;
    let (fleet_of, log_of) = (Rc::clone(&fleet), log.clone());
    let port = settings.agent_port;
    let member = Member::new(engines, heeds_fences, backend, fleet_of, log_of, socket, port);
    tokio::task::spawn_local(fleet::follow(Rc::clone(&fleet)));
    tokio::task::spawn_local(bulk::follow(Rc::clone(&member)));
    tokio::task::spawn_local(hear::hear(Rc::clone(&member)));
    tokio::task::spawn_local(lead::lead(Rc::clone(&member)));
    tokio::task::spawn_local(lead::tell_link(Rc::clone(&member)));
    tokio::task::spawn_local(stand_in::follow(Rc::clone(&member)));
    tokio::task::spawn_local(tell::follow(Rc::clone(&member), backend));
    tokio::task::spawn_local(tell::follow_hearing(member));
    let following = reload.follow(move |settings| fleet.set_seeds(&settings.seeds));
    tokio::task::spawn_local(following);
    signals.next().await;
    end(&log, DecisionLog::fields("stop").with("instance", &settings.instance)).await;
    Ok(())
}
