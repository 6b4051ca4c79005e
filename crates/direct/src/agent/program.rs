//! Start and stop of an agent process.

use super::fleet::{self, Fleet};
use super::member::Member;
use super::rank::RankClients;
use super::{lead, notify_entries, paced_sender, receive, remote_reads};
use crate::decision_log::DecisionLog;
use crate::operators::{self, AgentEndpoints};
use crate::process::{Process, listen, listen_error, log_last_line};
use crate::settings::{ProcessSettings, SettingsSource};
use miette::{Context, IntoDiagnostic};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Runs an agent until the process is asked to stop.
///
/// # Errors
///
/// Fails if the settings name no backend server, if the agent's address cannot be bound, or if the
/// operating system provides no signals or threads.
pub async fn run_agent(
    settings: ProcessSettings,
    rank_clients: Rc<dyn RankClients>,
    source: Box<dyn SettingsSource>,
) -> miette::Result<()> {
    let Process { exposition, log, mut signals, reload } = Process::start(source)?;
    let backend =
        settings.backend.ok_or_else(|| miette::miette!("the settings name no backend server"))?;
    let service = settings.service.clone().unwrap_or_default();
    let address = SocketAddr::new(backend.ip(), settings.agent_port);
    let socket =
        UdpSocket::bind(address).await.into_diagnostic().wrap_err_with(|| listen_error(address))?;
    let listener = listen(address).await?;
    tokio::task::spawn_local(operators::serve(listener, Rc::new(AgentEndpoints(exposition))));
    let line = DecisionLog::fields("start").with("instance", &settings.instance);
    let line = line.with("backend", backend).with("service", &service);
    log.note(line.with("fences_orders", settings.bounds.fences_orders));
    let fleet = Fleet::new(log.clone(), &service, &settings.seeds);
    let enforces_fences = settings.bounds.fences_orders;
    let (member_fleet, member_log) = (Rc::clone(&fleet), log.clone());
    let port = settings.agent_port;
    let member =
        Member::new(rank_clients, enforces_fences, backend, member_fleet, member_log, socket, port);
    let rank_client = Rc::clone(&member.rank_client);
    tokio::task::spawn_local(fleet::run(Rc::clone(&fleet), rank_client, backend));
    tokio::task::spawn_local(paced_sender::run(Rc::clone(&member)));
    tokio::task::spawn_local(receive::run(Rc::clone(&member)));
    tokio::task::spawn_local(lead::run(Rc::clone(&member)));
    tokio::task::spawn_local(lead::log_link_traffic(Rc::clone(&member)));
    tokio::task::spawn_local(remote_reads::run(Rc::clone(&member)));
    tokio::task::spawn_local(notify_entries::report_pace(Rc::clone(&member), backend));
    tokio::task::spawn_local(notify_entries::report_reachability(member));
    let following = reload.follow(move |settings| fleet.set_seeds(&settings.seeds));
    tokio::task::spawn_local(following);
    signals.next().await;
    log_last_line(&log, DecisionLog::fields("stop").with("instance", &settings.instance)).await;
    Ok(())
}
