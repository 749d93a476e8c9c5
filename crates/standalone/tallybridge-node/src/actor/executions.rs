//! Messages about attempts that the back end beside this node runs.

use std::time::{Duration, Instant};

use tallybridge_core::{AttemptId, LoadReport, Refusal, TemplateName};
use tallybridge_limits::Ticket;
use tallybridge_overload::{Allowance, Sample, SampleResult};
use xtra::prelude::*;

use super::{NodeActor, now};
use crate::{
    systems::{
        admission::{self, Admitted},
        membership,
        record::{self, Subject},
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
        let subject = Subject::of_execution(&message.execution);
        let admitted = admission::admit(&mut self.tables, message.execution, message.bounds, now());
        match &admitted {
            Ok(Admitted::Granted(_)) => record::admitted(&mut self.tables, &subject, false),
            Ok(Admitted::Queued(..)) => record::admitted(&mut self.tables, &subject, true),
            Err(refusal) => record::not_admitted(&mut self.tables, &subject, refusal),
        }
        record::evicted(&mut self.tables);
        admitted
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

/// An attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedExecution {
    /// What the entry node is told.
    pub closing: Closing,
    /// Whether the back end made nested calls for it, or may have: it had begun, whatever it says.
    pub made_calls: bool,
}

impl Default for EndedExecution {
    /// Of a node whose tables are gone: nothing is given back, and nothing is promised.
    fn default() -> Self {
        Self {
            closing: Closing::default(),
            made_calls: true,
        }
    }
}

impl Handler<EndExecution> for NodeActor {
    type Return = EndedExecution;

    async fn handle(
        &mut self,
        message: EndExecution,
        _context: &mut Context<Self>,
    ) -> EndedExecution {
        let now = now();
        let mut unused_allowance = 0;
        let mut made_calls = true;
        if let Some(execution) = self.tables.executions.remove(message.attempt) {
            unused_allowance = execution.allowance.remaining();
            made_calls = !execution.nested.is_empty();
            let nested = execution.nested_wait.total(now);
            let latency = message.sample.latency.saturating_sub(nested);
            let sample = Sample {
                latency,
                result: self.judge(message.sample.result, latency),
                ..message.sample
            };
            admission::release(&mut self.tables, &execution, sample, now);
            let subject = Subject::of_execution(&execution);
            let Sample {
                latency, result, ..
            } = message.sample;
            record::executed(&mut self.tables, &subject, result, latency);
            record::evicted(&mut self.tables);
        }
        let closing = Closing {
            unused_allowance,
            load: self.load_report(&message.template, now),
        };
        EndedExecution {
            closing,
            made_calls,
        }
    }
}

/// Bounds the retries that an attempt may still spend on nested calls.
pub struct BoundAllowance {
    /// The attempt.
    pub attempt: AttemptId,
    /// Most retries that are left to it.
    pub retries: u8,
}

impl Handler<BoundAllowance> for NodeActor {
    type Return = ();

    async fn handle(&mut self, message: BoundAllowance, _context: &mut Context<Self>) {
        if let Some(execution) = self.tables.executions.get_mut(message.attempt) {
            let retries = execution.allowance.remaining().min(message.retries);
            execution.allowance = Allowance::root(retries);
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
    /// Learns the service time of an answered call; a call that ran out of a time too short to be
    /// fair says nothing about load.
    fn judge(&mut self, result: SampleResult, latency: Duration) -> SampleResult {
        let service_time = &mut self.tables.admission.service_time;
        match result {
            SampleResult::Success => {
                service_time.record(latency);
                result
            }
            SampleResult::Overload if !service_time.was_fair(latency) => SampleResult::Ignore,
            SampleResult::Overload | SampleResult::Ignore => result,
        }
    }

    fn load_report(&self, template: &TemplateName, now: Instant) -> LoadReport {
        let tables = &self.tables;
        tables.admission.load_report(template, tables.leaving, now)
    }
}
