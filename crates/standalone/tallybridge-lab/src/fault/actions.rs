//! What each fault does, and how it is undone.

use std::time::Duration;

use nix::sys::signal::Signal;

use super::{AcceptedRevision, operator, runner::Runner};
use crate::{
    process::{Machine, ProcessError},
    scenario::FaultAction,
    standin::{backend::Control, store::FaultOrder},
};

/// How long the end of a planned stop waits for the node to end by itself.
const STOP_PATIENCE: Duration = Duration::from_secs(1);

/// Writes whose answers the store loses in one fault.
const LOST_ANSWERS: u32 = 5;

impl Runner<'_> {
    fn machine(&mut self, name: &str) -> Result<&mut Machine, ProcessError> {
        self.deployment
            .machine(name)
            .ok_or_else(|| ProcessError::Io {
                what: format!("find {name}"),
                source: std::io::ErrorKind::NotFound.into(),
            })
    }

    /// Makes a fault.
    pub(super) async fn make(
        &mut self,
        action: &FaultAction,
        length: Duration,
    ) -> Result<(), ProcessError> {
        match action {
            FaultAction::Kill { target } => {
                let machine = self.machine(target)?;
                machine.stop().await;
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

    /// Undoes a fault where that can be done.
    pub(super) async fn undo(&mut self, action: &FaultAction) -> Result<(), ProcessError> {
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
