//! The platform of a run: configuration store and machine list.

use std::{net::SocketAddr, path::Path, time::Duration};

use tallybridge_config::{RevisionRecord, revision::record_key};
use tallybridge_store::{Expectation, StoreClient, StoreClientOptions, StoreError};

use super::{ChildProcess, LoopbackMachine, Machine, ProcessError, files};
use crate::standin::{
    machine_list::{self, MachineState},
    store::FaultOrder,
};

/// Number of the loopback machine that the platform runs on.
const PLATFORM_MACHINE: u8 = 250;

/// Requests per second that the store takes: a small service that all nodes share.
const STORE_REQUESTS_PER_SECOND: &str = "200";

/// Lag of the machine list, in milliseconds.
const MACHINE_LIST_LAG_MS: &str = "2000";

/// Longest time for an answer to what the lab asks of the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Store and machine list of a run.
#[derive(Debug)]
pub struct Platform {
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the machine list.
    pub machine_list: SocketAddr,
    client: reqwest::Client,
    processes: [ChildProcess; 2],
}

impl Platform {
    /// Starts both.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] when one doesn't start.
    pub async fn start(directory: &Path, client: reqwest::Client) -> Result<Self, ProcessError> {
        let listen = format!("{}:0", LoopbackMachine::new(PLATFORM_MACHINE).0);
        let mut store = start_stand_in(
            directory,
            "store",
            &[
                "--listen",
                &listen,
                "--requests-per-second",
                STORE_REQUESTS_PER_SECOND,
            ],
        )?;
        let mut machine_list = start_stand_in(
            directory,
            "machine-list",
            &["--listen", &listen, "--lag-ms", MACHINE_LIST_LAG_MS],
        )?;
        Ok(Self {
            store: store.listening().await?.listening,
            machine_list: machine_list.listening().await?.listening,
            client,
            processes: [store, machine_list],
        })
    }

    /// Kills both and waits until they are gone.
    pub async fn stop(&mut self) {
        for process in &mut self.processes {
            process.kill().await;
        }
    }

    /// A client of the store.
    ///
    /// # Errors
    ///
    /// [`StoreError`] when none can be made.
    pub fn store_client(&self) -> Result<StoreClient, StoreError> {
        StoreClient::new(StoreClientOptions::new(vec![self.store]))
    }

    /// Writes a revision, unless there is one of its number.
    ///
    /// # Errors
    ///
    /// [`StoreError`] of the write; a conflict when the revision exists.
    pub async fn write_record(&self, record: &RevisionRecord) -> Result<(), StoreError> {
        let value = serde_json::to_string(record).map_err(|error| StoreError::Protocol {
            detail: error.to_string(),
        })?;
        self.store_client()?
            .put(&record_key(record.revision), value, Expectation::Absent)
            .await?;
        Ok(())
    }

    /// Sets a fault of the store.
    ///
    /// # Errors
    ///
    /// The store doesn't answer.
    pub async fn set_store_fault(&self, order: &FaultOrder) -> Result<(), ProcessError> {
        let request = self
            .client
            .post(format!("http://{}/fault", self.store))
            .json(order);
        send(request, "set a fault of the store").await
    }

    /// Puts the machines on the list.
    ///
    /// # Errors
    ///
    /// The list doesn't answer.
    pub async fn list_machines(
        &self,
        machines: Vec<machine_list::Machine>,
    ) -> Result<(), ProcessError> {
        let request = self
            .client
            .put(format!("http://{}/machines", self.machine_list))
            .json(&machines);
        send(request, "put machines on the list").await
    }
}

impl Machine {
    /// The machine as the list tells it.
    #[must_use]
    pub fn listed(&self, region: &str, state: MachineState) -> machine_list::Machine {
        machine_list::Machine {
            peer_address: self.addresses.peer,
            service: self.service.clone(),
            region: region.into(),
            zone: self.zone.clone(),
            state,
        }
    }
}

fn start_stand_in(
    directory: &Path,
    name: &str,
    flags: &[&str],
) -> Result<ChildProcess, ProcessError> {
    let command = ["stand-in", name];
    let arguments = command.iter().chain(flags);
    ChildProcess::start(
        name,
        arguments.map(Into::into).collect(),
        &files::file(directory, name, "log"),
    )
}

async fn send(request: reqwest::RequestBuilder, what: &str) -> Result<(), ProcessError> {
    request
        .timeout(REQUEST_TIMEOUT)
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .map_err(|source| ProcessError::Refused {
            what: what.to_owned(),
            source,
        })?;
    Ok(())
}
