//! Tells agents which documents other agents hold.
//!
//! An agent that became the home of idempotency keys must not run them while another agent may
//! still take them under an earlier document. Agents have no links to each other, so they ask
//! entries, which hear the stamp of an agent's document in each heartbeat acknowledgement, and when
//! the agent adopted it in a message of its own.

use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::known_holders::Answers;
use crate::entry::peer::Link;
use crate::ids::{InstanceId, LinkId};
use crate::message::{Holder, HolderQuery, HolderReport, ToAgent};
use crate::time::Now;

/// Agents that are asked for their stamp because of one query. More are asked because of the next.
const MAX_ASKED: usize = 8;

impl EntryCore {
    /// Answers an agent's query with what is known, and asks the agents of which too little is
    /// known, for the agent's next query.
    pub(super) fn handle_holder_query(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        query: &HolderQuery,
    ) {
        let Some(asking) = self.links.get(&link).map(|row| row.instance.clone()) else { return };
        let links = &self.links;
        self.holders.retain_surveys(|link| links.contains_key(&link));
        let holders: Vec<Holder> =
            query.backend_servers.iter().filter_map(|one| self.holders.holder(one)).collect();
        let mut to_ask = self.holders.unheard(&query.backend_servers, self.stamp);
        let answers = self.survey_answers(ctx.now, link, &asking, query);
        let every_agent = answers.as_ref().and_then(Answers::complete);
        to_ask.extend(answers.into_iter().flat_map(|answers| answers.missing));
        let homes_since = self.holders.homes_since();
        let stamp = self.stamp;
        let report = HolderReport { stamp, homes_since, holders, every_agent };
        ctx.send(link, ToAgent::HolderReport(report));
        self.ask_for_stamps(ctx, &to_ask);
    }

    /// Returns the answers to the survey for the asking agent; none if it asks for none, or the
    /// entry cannot tell.
    fn survey_answers(
        &mut self,
        now: Now,
        link: LinkId,
        asking: &InstanceId,
        query: &HolderQuery,
    ) -> Option<Answers> {
        if !query.every_agent || query.stamp != self.stamp {
            return None;
        }
        let document = self.document.as_ref()?;
        let survey = self.holders.survey(now, link, query.stamp);
        self.holders.answers(survey, document, asking, query.skipped_after)
    }

    /// Asks agents for the stamps of their documents, by a heartbeat or on a new link.
    fn ask_for_stamps(&mut self, ctx: &mut EventContext<'_>, instances: &[InstanceId]) {
        for instance in instances.iter().take(MAX_ASKED) {
            match self.peers.get(instance).and_then(|peer| peer.active) {
                Some(link) if self.has_pending_heartbeat(link) => {}
                Some(link) => self.send_heartbeat(ctx, link),
                None => self.ensure_link(ctx, instance),
            }
        }
    }

    fn has_pending_heartbeat(&self, link: LinkId) -> bool {
        let connected = self.links.get(&link).and_then(Link::connected);
        connected.is_some_and(|connected| connected.pending.is_some())
    }
}
