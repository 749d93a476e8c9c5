//! An executor node with its back end, and what is seen of it.

pub mod health;
pub mod latency;
pub mod load;
pub mod outstanding;
pub mod row;
pub mod suspicion;
pub mod unserved;

use std::time::Duration;

use tallybridge_core::{NodeId, RegionName, ServiceName, ZoneName};

/// One executor node with its back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// The node beside the back end.
    pub node: NodeId,
    /// The service that the back end belongs to.
    pub service: ServiceName,
    /// Where the node runs.
    pub region: RegionName,
    /// Where in the region the node runs.
    pub zone: ZoneName,
}

/// Where the routing node itself runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Locality {
    /// The region.
    pub region: RegionName,
    /// The zone within the region.
    pub zone: ZoneName,
}

impl Locality {
    /// How near an endpoint is.
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

/// How near an endpoint is to the routing node, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Proximity {
    /// In the same zone.
    SameZone = 0,
    /// In another zone of the region.
    SameRegion = 1,
    /// In another region.
    OtherRegion = 2,
}

/// Whether an endpoint gets traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointState {
    /// Full traffic.
    Serving,
    /// A growing share of its traffic, after a cold start or an ejection.
    Ramping,
    /// No traffic for a time, because of what was observed.
    Ejected,
    /// One attempt at a time until some in a row were answered, after an ejection.
    Probing,
    /// No new traffic: the endpoint says or membership says that it leaves.
    Leaving,
    /// No longer a member; attempts are still in flight.
    Gone,
}

/// One endpoint as a status page shows it.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// How near it is.
    pub proximity: Proximity,
    /// Whether it gets traffic.
    pub state: EndpointState,
    /// Attempts of this node that are in flight there.
    pub in_flight: usize,
    /// Attempts of this node in flight there for longer than is usual for the service.
    pub overdue: usize,
    /// Estimated calls in flight and queued there, in its limit; above 1 it queues.
    pub utilisation: f64,
    /// Smoothed latency, once an attempt was answered.
    pub latency: Option<Duration>,
    /// Recent share of attempts that it refused or failed, 0 to 1.
    pub unserved: f64,
    /// Share of its traffic that its ramp lets through, 0 to 1.
    pub ramp_share: f64,
}
