//! Messages that ask what this node knows.

use std::time::Instant;

use serde::Serialize;
use tallybridge_core::{NodeId, RegionName, ServiceName, ZoneName};
use tallybridge_membership::{MemberRecord, MemberState};
use xtra::prelude::*;

use super::{NodeActor, now};
use crate::tables::{configuration::RefusedRevision, decisions::Decision};

/// What a node says about itself.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// This node.
    pub node: String,
    /// Service of the back end beside it.
    pub service: Option<String>,
    /// Whether it has a configuration, knows the fleet and can serve.
    pub ready: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Configuration revision in force.
    pub revision: u64,
    /// Time since this node last knew that no newer revision was there, from the store or from a
    /// member, in milliseconds; `None` when it never did.
    pub configuration_confirmed_ms_ago: Option<u64>,
    /// The same, from the store itself.
    pub store_confirmed_ms_ago: Option<u64>,
    /// A revision that this node has seen and does not put in force.
    pub configuration_refused: Option<RefusedRevision>,
    /// Whether this node watches the store for its zone.
    pub watches_store: bool,
    /// Calls that entered here and are not answered yet.
    pub calls: usize,
    /// Calls that the back end beside it runs.
    pub executions: usize,
    /// Calls that may run at once.
    pub limit: u16,
    /// Calls that wait for a slot.
    pub queued: usize,
    /// Least critical class that is admitted.
    pub admitted_from: Option<String>,
    /// Whether this node is still learning who is in the fleet.
    pub joining: bool,
    /// Number of live members that this node knows, itself included.
    pub live_members: usize,
    /// The fleet as this node sees it; left out where each node tells of itself only.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberStatus>,
}

/// One member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MemberStatus {
    /// Who it is.
    pub node: NodeId,
    /// `alive`, `suspect`, `leaving`, `dead` or `left`.
    pub state: &'static str,
    /// Service of the back end beside it; empty when it has none.
    pub service: ServiceName,
    /// Its region.
    pub region: RegionName,
    /// Its zone.
    pub zone: ZoneName,
}

impl MemberStatus {
    fn of(record: &MemberRecord) -> Self {
        Self {
            node: record.node,
            state: state_name(record.state()),
            service: record.placement.service.clone(),
            region: record.placement.region.clone(),
            zone: record.placement.zone.clone(),
        }
    }
}

const fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

/// Asks how many members take part.
pub struct CountMembers;

impl Handler<CountMembers> for NodeActor {
    type Return = usize;

    async fn handle(&mut self, _message: CountMembers, _context: &mut Context<Self>) -> usize {
        let members = self.tables.members.members();
        members.filter(|record| record.health.is_live()).count()
    }
}

/// Brings the gauges up to date, for who reads the metrics now.
pub struct ShowMetrics;

impl Handler<ShowMetrics> for NodeActor {
    type Return = ();

    async fn handle(&mut self, _message: ShowMetrics, _context: &mut Context<Self>) {
        crate::telemetry::show(&self.tables);
    }
}

/// Asks for the status.
pub struct GetStatus;

impl Handler<GetStatus> for NodeActor {
    type Return = Status;

    async fn handle(&mut self, _message: GetStatus, _context: &mut Context<Self>) -> Status {
        let members = self.tables.members.members();
        Status {
            members: members.map(MemberStatus::of).collect(),
            ..self.own_status()
        }
    }
}

/// Asks for what this node says about itself, without the other members.
pub struct GetOwnStatus;

impl Handler<GetOwnStatus> for NodeActor {
    type Return = Status;

    async fn handle(&mut self, _message: GetOwnStatus, _context: &mut Context<Self>) -> Status {
        self.own_status()
    }
}

/// Asks for the live members besides this node.
pub struct OtherMembers;

impl Handler<OtherMembers> for NodeActor {
    type Return = Vec<NodeId>;

    async fn handle(
        &mut self,
        _message: OtherMembers,
        _context: &mut Context<Self>,
    ) -> Vec<NodeId> {
        let members = self.tables.members.members();
        members
            .filter(|record| record.health.is_live() && record.node != self.tables.identity)
            .map(|record| record.node)
            .collect()
    }
}

impl NodeActor {
    fn own_status(&self) -> Status {
        let tables = &self.tables;
        let membership = tables.members.status();
        let confirmed = tables.configuration.confirmed();
        let now = now();
        Status {
            node: tables.identity.to_string(),
            service: tables.admission.service.as_ref().map(ToString::to_string),
            ready: tables.configuration.is_loaded() && !membership.catching_up,
            leaving: tables.leaving,
            revision: tables.configuration.revision().0,
            configuration_confirmed_ms_ago: milliseconds_since(confirmed.by_any, now),
            store_confirmed_ms_ago: milliseconds_since(confirmed.by_store, now),
            configuration_refused: tables.configuration.refused().cloned(),
            watches_store: tables.watches_store,
            calls: tables.calls.len(),
            executions: tables.executions.len(),
            limit: tables.admission.limit.limit(),
            queued: tables.admission.queue.len(),
            admitted_from: tables
                .admission
                .level
                .admitted_from()
                .map(|class| class.to_string()),
            joining: membership.catching_up,
            live_members: membership.alive + membership.suspect + membership.leaving,
            members: Vec::new(),
        }
    }
}

fn milliseconds_since(time: Option<Instant>, now: Instant) -> Option<u64> {
    let elapsed = now.saturating_duration_since(time?);
    Some(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Asks for the decisions about one request.
pub struct Explain(pub String);

impl Handler<Explain> for NodeActor {
    type Return = Vec<Decision>;

    async fn handle(
        &mut self,
        Explain(request_id): Explain,
        _context: &mut Context<Self>,
    ) -> Vec<Decision> {
        self.tables.decisions.of_request(&request_id)
    }
}

/// Asks what this node believes about one run of a node.
pub struct MemberStateOf(pub NodeId);

impl Handler<MemberStateOf> for NodeActor {
    type Return = Option<MemberState>;

    async fn handle(
        &mut self,
        MemberStateOf(node): MemberStateOf,
        _context: &mut Context<Self>,
    ) -> Option<MemberState> {
        let record = self.tables.members.member(node);
        record.map(MemberRecord::state)
    }
}
