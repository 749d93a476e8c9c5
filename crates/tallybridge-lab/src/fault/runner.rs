//! Makes the faults of a scenario at their times and undoes them.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::{AcceptedRevision, FaultRecord, FaultRecords, Leave, LeaveCause, operator};
use crate::{
    clock::unix_us,
    process::{Deployment, Machine, ProcessError},
    scenario::{FaultAction, Scenario},
    standin::{backend::Control, store::FaultOrder},
};

/// How long the end of a planned stop waits for the node to end by itself.
const STOP_PATIENCE: Duration = Duration::from_secs(1);

/// Writes whose answers the store loses in one fault.
const LOST_ANSWERS: u32 = 5;

/// Beginning or end of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begin,
    End,
}

struct Runner<'a> {
    scenario: &'a Scenario,
    deployment: &'a mut Deployment,
    records: FaultRecords,
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
        if let Some(target) = action.target() {
            let open = self
                .records
                .leaves
                .iter_mut()
                .filter(|leave| leave.backend == target && leave.ended_us.is_none());
            open.for_each(|leave| leave.ended_us = Some(ended_us));
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

    fn machine(&mut self, name: &str) -> Result<&mut Machine, ProcessError> {
        self.deployment
            .machine(name)
            .ok_or_else(|| ProcessError::Io {
                what: format!("find {name}"),
                source: std::io::ErrorKind::NotFound.into(),
            })
    }

    async fn make(&mut self, action: &FaultAction, length: Duration) -> Result<(), ProcessError> {
        match action {
            FaultAction::Kill { target } => {
                let machine = self.machine(target)?;
                machine.backend.kill().await;
                machine.node.kill().await;
            }
            FaultAction::RestartNode { target } => self.machine(target)?.node.restart().await?,
            FaultAction::Freeze { target } => self.machine(target)?.node.signal(Signal::SIGSTOP),
            FaultAction::FreezeBackend { target } => {
                self.machine(target)?.backend.signal(Signal::SIGSTOP);
            }
            FaultAction::StopNode { target } => self.machine(target)?.node.signal(Signal::SIGTERM),
            FaultAction::Slow { service, factor } => self.slow(service, *factor).await?,
            FaultAction::Lie { target } => {
                self.tell(target, |control| control.lying = true).await?;
            }
            FaultAction::Drain { target } => {
                self.tell(target, |control| control.draining = true).await?;
            }
            FaultAction::Cool { target } => {
                let client = self.deployment.client.clone();
                self.machine(target)?.cool_backend(&client).await?;
            }
            FaultAction::StoreOutage => {
                let outage_ms = u64::try_from(length.as_millis()).ok();
                self.store_fault(FaultOrder {
                    outage_ms,
                    ..FaultOrder::default()
                })
                .await?;
            }
            FaultAction::StoreSlow { delay_ms } => {
                self.store_fault(FaultOrder {
                    slow_ms: Some(*delay_ms),
                    ..FaultOrder::default()
                })
                .await?;
            }
            FaultAction::StoreLosesAnswers => {
                self.store_fault(FaultOrder {
                    lose_answers: Some(LOST_ANSWERS),
                    ..FaultOrder::default()
                })
                .await?;
            }
            FaultAction::OperatorRace => self.race().await?,
        }
        Ok(())
    }

    async fn undo(&mut self, action: &FaultAction) -> Result<(), ProcessError> {
        match action {
            FaultAction::Kill { target } => {
                let machine = self.machine(target)?;
                machine.backend.restart().await?;
                machine.node.restart().await?;
                let client = self.deployment.client.clone();
                let machine = self.machine(target)?;
                machine.backend.listening().await?;
                let control = machine.control;
                machine.tell_backend(&client, control).await?;
            }
            FaultAction::Freeze { target } => self.machine(target)?.node.signal(Signal::SIGCONT),
            FaultAction::FreezeBackend { target } => {
                self.machine(target)?.backend.signal(Signal::SIGCONT);
            }
            FaultAction::StopNode { target } => {
                let node = &mut self.machine(target)?.node;
                node.wait_or_kill(STOP_PATIENCE).await;
                node.restart().await?;
            }
            FaultAction::Slow { service, .. } => self.slow(service, 1.0).await?,
            FaultAction::Lie { target } => {
                self.tell(target, |control| control.lying = false).await?;
            }
            FaultAction::Drain { target } => {
                self.tell(target, |control| control.draining = false)
                    .await?;
            }
            FaultAction::StoreSlow { .. } => {
                self.store_fault(FaultOrder {
                    slow_ms: Some(0),
                    ..FaultOrder::default()
                })
                .await?;
            }
            FaultAction::StoreLosesAnswers => {
                self.store_fault(FaultOrder {
                    lose_answers: Some(0),
                    ..FaultOrder::default()
                })
                .await?;
            }
            FaultAction::RestartNode { .. }
            | FaultAction::Cool { .. }
            | FaultAction::StoreOutage
            | FaultAction::OperatorRace => {}
        }
        Ok(())
    }

    async fn slow(&mut self, service: &str, factor: f64) -> Result<(), ProcessError> {
        let client = self.deployment.client.clone();
        for machine in &mut self.deployment.machines {
            if machine.service.as_str() == service {
                let control = Control {
                    slowdown: factor,
                    ..machine.control
                };
                machine.tell_backend(&client, control).await?;
            }
        }
        Ok(())
    }

    async fn tell(
        &mut self,
        target: &str,
        change: impl FnOnce(&mut Control),
    ) -> Result<(), ProcessError> {
        let client = self.deployment.client.clone();
        let machine = self.machine(target)?;
        let mut control = machine.control;
        change(&mut control);
        machine.tell_backend(&client, control).await
    }

    /// Sets a fault of the store; a baseline has none.
    async fn store_fault(&self, order: FaultOrder) -> Result<(), ProcessError> {
        match &self.deployment.platform {
            Some(platform) => platform.set_store_fault(&order).await,
            None => Ok(()),
        }
    }

    async fn race(&mut self) -> Result<(), ProcessError> {
        let Some(platform) = &self.deployment.platform else {
            return Ok(());
        };
        let accepted: Vec<AcceptedRevision> = operator::race(platform, self.scenario)
            .await
            .map_err(|error| ProcessError::Io {
                what: "let two operators race".to_owned(),
                source: std::io::Error::other(error),
            })?;
        self.records.accepted.extend(accepted);
        Ok(())
    }
}
