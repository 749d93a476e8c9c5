//! All processes of one run of a scenario under one policy.

use std::{net::SocketAddr, path::Path};

use super::{Machine, Platform, ProcessError, starter::Starter};
use crate::{policy::Policy, scenario::Scenario, standin::machine_list::MachineState};

/// All processes of one run; they are killed when this is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Store and machine list; absent under a baseline policy.
    pub platform: Option<Platform>,
    /// Machines, service by service.
    pub machines: Vec<Machine>,
    /// Client by which the lab tells processes what to do.
    pub client: reqwest::Client,
}

impl Deployment {
    /// Starts everything and waits until it serves.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when a process doesn't start or is not ready in time.
    pub async fn start(
        scenario: &Scenario,
        policy: Policy,
        directory: &Path,
    ) -> Result<Self, ProcessError> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .build()
            .map_err(|source| ProcessError::Refused {
                what: "make an HTTP client".to_owned(),
                source,
            })?;
        let platform = match policy {
            Policy::Tallybridge => Some(Platform::start(directory, client.clone()).await?),
            Policy::None | Policy::Static => None,
        };
        let starter = Starter::new(scenario, policy, directory)?;
        let mut deployment = Self {
            machines: starter.start_machines(platform.as_ref())?,
            platform,
            client,
        };
        deployment.configure(scenario).await?;
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Addresses at which callers enter.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.machines
            .iter()
            .map(|machine| machine.addresses.caller)
            .collect()
    }

    /// The machine of a back end's name.
    pub fn machine(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines
            .iter_mut()
            .find(|machine| machine.name == name)
    }

    /// Kills all processes and waits until they are gone. A process that is only killed may still
    /// accept connections after this program has ended.
    pub async fn stop(mut self) {
        for machine in &mut self.machines {
            machine.stop().await;
        }
        if let Some(platform) = &mut self.platform {
            platform.stop().await;
        }
    }

    async fn configure(&self, scenario: &Scenario) -> Result<(), ProcessError> {
        let Some(platform) = &self.platform else {
            return Ok(());
        };
        let listed = self
            .machines
            .iter()
            .map(|machine| machine.listed(scenario.region.as_str(), MachineState::Live))
            .collect();
        platform.list_machines(listed).await?;
        platform
            .write_record(&scenario.first_record())
            .await
            .map_err(|error| ProcessError::Io {
                what: "write the first revision".to_owned(),
                source: std::io::Error::other(error),
            })
    }

    async fn wait_until_ready(&mut self) -> Result<(), ProcessError> {
        let is_baseline = self.platform.is_none();
        for machine in &mut self.machines {
            machine.backend.listening().await?;
            if is_baseline {
                machine.node.listening().await?;
            } else {
                machine.node_ready(&self.client).await?;
            }
        }
        Ok(())
    }
}
