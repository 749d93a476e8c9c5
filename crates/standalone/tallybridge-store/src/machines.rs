//! Client of the platform's machine list, which lags behind the truth.

use std::{net::SocketAddr, time::Duration};

use reqwest::Method;
use serde::{Deserialize, Serialize};
use tallybridge_core::{RegionName, ServiceName, ZoneName};

use crate::client::{Kind, Request, StoreClientOptions, StoreError, Transport, read_answer};

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One machine, as the list has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Peer address of the machine's node.
    pub peer_address: SocketAddr,
    /// Service of its back end.
    pub service: ServiceName,
    /// Region it stands in.
    pub region: RegionName,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Whether it stays.
    pub state: MachineState,
}

/// Client of the machine list.
#[derive(Debug)]
pub struct MachineListClient {
    transport: Transport,
}

impl MachineListClient {
    /// A client that opens no connection yet.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] when the system gives no means for connections.
    pub fn new(address: SocketAddr, request_timeout: Duration) -> Result<Self, StoreError> {
        let options = StoreClientOptions {
            request_timeout,
            ..StoreClientOptions::new(vec![address])
        };
        Ok(Self {
            transport: Transport::new(options)?,
        })
    }

    /// The machines that the list shows now.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a read.
    pub async fn machines(&self) -> Result<Vec<Machine>, StoreError> {
        let request = Request::new(Kind::Read, Method::GET, "/v1/machines");
        let response = self.transport.send(&request).await?;
        read_answer(Kind::Read, response).await
    }
}
