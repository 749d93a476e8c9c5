//! Messages about attempts that the back end beside this node runs.

use std::time::Instant;

use tallybridge_core::{AttemptId, LoadReport, Refusal, TemplateName};
use tallybridge_limits::{Sample, Ticket};
use xtra::prelude::*;

use super::{NodeActor, now};
use crate::{
    systems::{
        admission::{self, Admitted},
        membership,
    },
    tables::{admission::TemplateBounds, executions::Execution},
};

/// Asks for a slot of the back end.
pub struct Admit {
    /// The row of the attempt.
    pub execution: Execution,
    /// Bounds of its template.
    pub bounds: TemplateBounds,
}

impl Handler<Admit> for NodeActor {
    type Return = Result<Admitted, Refusal>;

    async fn handle(&mut self, message: Admit, _context: &mut Context<Self>) -> Self::Return {
        admission::admit(&mut self.tables, message.execution, message.bounds, now())
    }
}

/// Takes a waiting call out of the queue: its caller gave up.
pub struct Withdraw(pub Ticket);

impl Handler<Withdraw> for NodeActor {
    type Return = ();

    async fn handle(&mut self, Withdraw(ticket): Withdraw, _context: &mut Context<Self>) {
        drop(self.tables.admission.queue.cancel(ticket));
    }
}

/// Ends an attempt and frees its slot.
pub struct EndExecution {
    /// The attempt.
    pub attempt: AttemptId,
    /// Template that covers the call.
    pub template: TemplateName,
    /// What it tells about the back end's load.
    pub sample: Sample,
}

/// What an executing node tells the entry node besides the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Closing {
    /// Retries of those lent that were not spent.
    pub unused_allowance: u8,
    /// Load of this node.
    pub load: LoadReport,
}

impl Handler<EndExecution> for NodeActor {
    type Return = Closing;

    async fn handle(&mut self, message: EndExecution, _context: &mut Context<Self>) -> Closing {
        let now = now();
        let mut unused_allowance = 0;
        if let Some(execution) = self.tables.executions.remove(message.attempt) {
            unused_allowance = execution.allowance.remaining();
            let nested = execution.nested_wait.total(now);
            let sample = Sample {
                latency: message.sample.latency.saturating_sub(nested),
                ..message.sample
            };
            admission::release(&mut self.tables, &execution, sample, now);
        }
        Closing {
            unused_allowance,
            load: self.load_report(&message.template, now),
        }
    }
}

/// Asks for the load of this node, as a caller of a template meets it.
pub struct ReportLoad(pub TemplateName);

impl Handler<ReportLoad> for NodeActor {
    type Return = LoadReport;

    async fn handle(
        &mut self,
        ReportLoad(template): ReportLoad,
        _context: &mut Context<Self>,
    ) -> LoadReport {
        self.load_report(&template, now())
    }
}

/// The back end said that it is leaving.
pub struct BackendDraining;

impl Handler<BackendDraining> for NodeActor {
    type Return = ();

    async fn handle(&mut self, _message: BackendDraining, _context: &mut Context<Self>) {
        membership::leave(&mut self.tables, now());
    }
}

impl NodeActor {
    fn load_report(&self, template: &TemplateName, now: Instant) -> LoadReport {
        let tables = &self.tables;
        tables.admission.load_report(template, tables.leaving, now)
    }
}
