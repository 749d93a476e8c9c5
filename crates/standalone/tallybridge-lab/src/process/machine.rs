//! One machine: a back end and the node, or baseline router, beside it.

use std::{path::PathBuf, time::Duration};

use tallybridge_core::{ServiceName, ZoneName};

use super::{ChildProcess, MachineAddresses, ProcessError};
use crate::standin::backend::Control;

/// Pause between two looks whether a node is ready.
const READY_PAUSE: Duration = Duration::from_millis(50);

/// Longest time until a node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for an answer to what the lab tells a process.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// One machine of a deployment.
#[derive(Debug)]
pub struct Machine {
    /// Name of its back end, `service-number`.
    pub name: String,
    /// Service of its back end.
    pub service: ServiceName,
    /// Zone.
    pub zone: ZoneName,
    /// Where its processes listen.
    pub addresses: MachineAddresses,
    /// Log of what the back end executed.
    pub execution_log: PathBuf,
    /// The back end.
    pub backend: ChildProcess,
    /// The node or router.
    pub node: ChildProcess,
    /// What the back end was told last.
    pub control: Control,
}

impl Machine {
    /// Waits until the node says that it serves.
    ///
    /// # Errors
    ///
    /// [`ProcessError::NotReady`] when it doesn't in time.
    pub async fn node_ready(&mut self, client: &reqwest::Client) -> Result<(), ProcessError> {
        let url = format!("http://{}/ready", self.addresses.admin);
        let started = tokio::time::Instant::now();
        while started.elapsed() < READY_TIMEOUT && !self.node.has_ended() {
            let answer = client.get(&url).timeout(CONTROL_TIMEOUT).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err(self.node.not_ready())
    }

    /// Kills both processes and waits until they are gone.
    pub async fn stop(&mut self) {
        self.backend.kill().await;
        self.node.kill().await;
    }

    /// Tells the back end what to do.
    ///
    /// # Errors
    ///
    /// The back end doesn't answer.
    pub async fn tell_backend(
        &mut self,
        client: &reqwest::Client,
        control: Control,
    ) -> Result<(), ProcessError> {
        self.control = control;
        client
            .post(format!("http://{}/control", self.addresses.backend))
            .json(&control)
            .timeout(CONTROL_TIMEOUT)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(|source| ProcessError::Refused {
                what: format!("tell {} what to do", self.name),
                source,
            })?;
        Ok(())
    }

    /// Makes the back end cold again.
    ///
    /// # Errors
    ///
    /// The back end doesn't answer.
    pub async fn cool_backend(&self, client: &reqwest::Client) -> Result<(), ProcessError> {
        client
            .post(format!("http://{}/control/cool", self.addresses.backend))
            .timeout(CONTROL_TIMEOUT)
            .send()
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(|source| ProcessError::Refused {
                what: format!("cool {}", self.name),
                source,
            })?;
        Ok(())
    }
}
