//! Messages that ask what this node knows.

use serde::Serialize;
use xtra::prelude::*;

use super::NodeActor;
use crate::tables::{decisions::Decision, peers::Peer};

/// What a node says about itself.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// This node.
    pub node: String,
    /// Service of the back end beside it.
    pub service: Option<String>,
    /// Whether it has a configuration and can serve.
    pub ready: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Configuration revision in force.
    pub revision: u64,
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
    /// Nodes that this one knows.
    pub peers: Vec<Peer>,
}

/// Asks for the status.
pub struct GetStatus;

impl Handler<GetStatus> for NodeActor {
    type Return = Status;

    async fn handle(&mut self, _message: GetStatus, _context: &mut Context<Self>) -> Status {
        let tables = &self.tables;
        Status {
            node: tables.identity.to_string(),
            service: tables.admission.service.as_ref().map(ToString::to_string),
            ready: tables.configuration.is_loaded(),
            leaving: tables.leaving,
            revision: tables.configuration.revision().0,
            calls: tables.calls.len(),
            executions: tables.executions.len(),
            limit: tables.admission.limit.limit(),
            queued: tables.admission.queue.len(),
            admitted_from: tables
                .admission
                .level
                .admitted_from()
                .map(|class| class.to_string()),
            peers: tables.peers.iter().cloned().collect(),
        }
    }
}

/// Adds a decision to the log.
pub struct Record(pub Decision);

impl Handler<Record> for NodeActor {
    type Return = ();

    async fn handle(&mut self, Record(mut decision): Record, _context: &mut Context<Self>) {
        decision.revision = self.tables.configuration.revision().0;
        self.tables.decisions.push(decision);
    }
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
