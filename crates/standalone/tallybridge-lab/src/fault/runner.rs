//! Makes the faults of a scenario at their times and undoes them.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{FaultRecord, FaultRecords, Leave, LeaveCause};
use crate::{
    clock::unix_us,
    process::Deployment,
    scenario::{FaultAction, Scenario},
    standin::machine_list::MachineState,
};

/// Beginning or end of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begin,
    End,
}

/// Makes the faults of one run.
pub(super) struct Runner<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) deployment: &'a mut Deployment,
    pub(super) records: FaultRecords,
    /// What the machine list shows of machines that are not live; `None`: nothing.
    listed: BTreeMap<String, Option<MachineState>>,
}

/// Makes all faults, counted from `start`; returns when the last is undone.
pub async fn run_faults(
    scenario: &Scenario,
    deployment: &mut Deployment,
    start: Instant,
) -> FaultRecords {
    let mut runner = Runner {
        scenario,
        deployment,
        records: FaultRecords::default(),
        listed: BTreeMap::new(),
    };
    let mut record_indices = vec![0; scenario.fault.len()];
    for (at, step, fault) in schedule(scenario) {
        tokio::time::sleep_until(start + at).await;
        match step {
            Step::Begin => {
                record_indices[fault] = runner.records.faults.len();
                runner.begin(fault).await;
            }
            Step::End => runner.end(fault, record_indices[fault]).await,
        }
    }
    runner.records
}

fn schedule(scenario: &Scenario) -> Vec<(Duration, Step, usize)> {
    let mut steps = Vec::new();
    for (index, fault) in scenario.fault.iter().enumerate() {
        let begin = Duration::from_secs_f64(fault.at_seconds);
        let end = begin + Duration::from_secs_f64(fault.seconds);
        steps.push((begin, Step::Begin, index));
        steps.push((end, Step::End, index));
    }
    steps.sort();
    steps
}

impl Runner<'_> {
    async fn begin(&mut self, fault: usize) {
        let scenario = self.scenario;
        let fault = &scenario.fault[fault];
        let began_us = unix_us();
        let made = self
            .make(&fault.action, Duration::from_secs_f64(fault.seconds))
            .await;
        self.records.faults.push(FaultRecord {
            fault: fault.clone(),
            began_us,
            ended_us: None,
            failure: made.err().map(|error| error.to_string()),
        });
        self.note_leave(&fault.action, began_us);
        self.list_machines(&fault.action, Step::Begin).await;
    }

    async fn end(&mut self, fault: usize, record: usize) {
        let scenario = self.scenario;
        let action = &scenario.fault[fault].action;
        let undone = self.undo(action).await;
        let ended_us = unix_us();
        let record = &mut self.records.faults[record];
        record.ended_us = Some(ended_us);
        record.failure = record
            .failure
            .take()
            .or(undone.err().map(|error| error.to_string()));
        self.list_machines(action, Step::End).await;
        if let Some(target) = action.target() {
            let open = self
                .records
                .leaves
                .iter_mut()
                .filter(|leave| leave.backend == target && leave.ended_us.is_none());
            open.for_each(|leave| leave.ended_us = Some(ended_us));
        }
    }

    /// Tells the machine list what it will show, after its lag, of a machine that is lost or that
    /// is being stopped.
    async fn list_machines(&mut self, action: &FaultAction, step: Step) {
        let (target, state) = match action {
            FaultAction::Kill { target } => (target, None),
            FaultAction::StopNode { target } => (target, Some(MachineState::Leaving)),
            _ => return,
        };
        match step {
            Step::Begin => self.listed.insert(target.clone(), state),
            Step::End => self.listed.remove(target),
        };
        let Some(platform) = &self.deployment.platform else {
            return;
        };
        let region = self.scenario.region.as_str();
        let machines = self.deployment.machines.iter().filter_map(|machine| {
            let state = self.listed.get(&machine.name).copied();
            state
                .unwrap_or(Some(MachineState::Live))
                .map(|state| machine.listed(region, state))
        });
        if let Err(error) = platform.list_machines(machines.collect()).await {
            tracing::warn!(%error, "the machine list was not updated");
        }
    }

    fn note_leave(&mut self, action: &FaultAction, began_us: u64) {
        let (target, cause) = match action {
            FaultAction::Drain { target } => (target, LeaveCause::Drain),
            FaultAction::StopNode { target } => (target, LeaveCause::NodeStop),
            _ => return,
        };
        let machine = self
            .deployment
            .machines
            .iter()
            .position(|machine| machine.name == *target);
        self.records.leaves.push(Leave {
            backend: target.clone(),
            machine: machine.unwrap_or_default(),
            cause,
            began_us,
            ended_us: None,
        });
    }
}
