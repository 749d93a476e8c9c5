//! Endpoints, and the state that the table keeps for each of them.
//!
//! An endpoint is an executor node with its back end. The submodules track its health, latency,
//! load, attempts in flight and unserved attempts.

pub mod health;
pub mod latency;
pub mod load;
pub mod outstanding;
pub mod row;
pub mod suspicion;
pub mod unserved;

use std::time::Duration;

use tallybridge_core::{NodeId, RegionName, ServiceName, ZoneName};

/// An executor node with its back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The node that runs beside the back end.
    pub node: NodeId,
    /// The service to which the back end belongs.
    pub service: ServiceName,
    /// Region in which the node runs.
    pub region: RegionName,
    /// Zone within the region.
    pub zone: ZoneName,
}

/// Location of the node that routes the calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Locality {
    /// Region in which the node runs.
    pub region: RegionName,
    /// Zone within the region.
    pub zone: ZoneName,
}

impl Locality {
    /// Returns how near an endpoint is to this location.
    #[must_use]
    pub fn proximity(&self, endpoint: &Endpoint) -> Proximity {
        if self.region != endpoint.region {
            Proximity::OtherRegion
        } else if self.zone != endpoint.zone {
            Proximity::SameRegion
        } else {
            Proximity::SameZone
        }
    }
}

/// Distance of an endpoint from the routing node, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// The endpoint is in the same zone.
    SameZone = 0,
    /// The endpoint is in another zone of the same region.
    SameRegion = 1,
    /// The endpoint is in another region.
    OtherRegion = 2,
}

/// State of an endpoint, which decides the traffic that it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// The endpoint gets its full traffic.
    Serving,
    /// The endpoint gets a growing share of its traffic, after a cold start or an ejection.
    Ramping,
    /// The endpoint gets no traffic for a time, because its attempts failed or stalled.
    Ejected,
    /// The endpoint gets one attempt at a time, after an ejection, until enough in a row are
    /// answered.
    Probing,
    /// The endpoint gets no new traffic, because its end has been announced.
    Leaving,
    /// The endpoint is no longer a member but still has attempts in flight.
    Gone,
}

/// Status of one endpoint, as a status page shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint that the status describes.
    pub endpoint: Endpoint,
    /// Distance of the endpoint from this node.
    pub proximity: Proximity,
    /// Current state, which decides the traffic of the endpoint.
    pub state: EndpointState,
    /// Number of this node's attempts in flight at the endpoint.
    pub in_flight: usize,
    /// Number of this node's attempts in flight at the endpoint that are overdue.
    pub overdue: usize,
    /// Estimated calls running and queued at the endpoint, divided by its limit. Calls queue above
    /// 1.
    pub utilisation: f64,
    /// Mean latency, or `None` until an attempt is answered.
    pub latency: Option<Duration>,
    /// Recent fraction of attempts that the endpoint refused or failed, from 0 to 1.
    pub unserved: f64,
    /// Fraction of its normal traffic that the endpoint gets, from 0 to 1.
    pub ramp_share: f64,
}
