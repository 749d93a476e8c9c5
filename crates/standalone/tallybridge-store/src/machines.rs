//! Client of the platform's machine list.
//!
//! The list is updated with a delay, so it can miss a new machine and show a removed one.

use std::{net::SocketAddr, time::Duration};

use reqwest::Method;
use serde::{Deserialize, Serialize};
use tallybridge_core::{RegionName, ServiceName, ZoneName};

use crate::client::{
    Request, RequestKind, StoreClientOptions, StoreError, Transport, read_response,
};

/// State of a machine in the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
    /// The machine is in service.
    Live,
    /// The platform is about to remove the machine.
    Leaving,
}

/// An entry of the machine list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Address at which the node of the machine accepts links of its peers.
    pub peer_address: SocketAddr,
    /// Service of the back end on the machine.
    pub service: ServiceName,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Whether the machine is in service or leaving.
    pub state: MachineState,
}

/// Client of the machine list service at one address.
#[derive(Debug)]
pub struct MachineListClient {
    transport: Transport,
}

impl MachineListClient {
    /// Creates a client, which connects at its first request.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] when the HTTP client cannot be built.
    pub fn new(address: SocketAddr, request_timeout: Duration) -> Result<Self, StoreError> {
        let options = StoreClientOptions {
            request_timeout,
            ..StoreClientOptions::new(vec![address])
        };
        Ok(Self {
            transport: Transport::new(options)?,
        })
    }

    /// Reads the current list.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a read.
    pub async fn machines(&self) -> Result<Vec<Machine>, StoreError> {
        let request = Request::new(RequestKind::Read, Method::GET, "/v1/machines");
        let response = self.transport.send(&request).await?;
        read_response(RequestKind::Read, response).await
    }
}
