//! Settings of the routing algorithm.

use std::time::Duration;

/// Settings of an [`EndpointTable`](crate::EndpointTable).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingSettings {
    /// Extra round-trip time of a call to another zone of the region.
    pub zone_hop: Duration,
    /// Maximum cost of a zone hop, in typical latencies of the service. It bounds how much busier
    /// local endpoints get than remote ones when calls are shorter than the hop.
    pub zone_hop_weight_limit: f64,
    /// Time constant with which an above-average latency decays to the typical latency.
    pub latency_decay: Duration,
    /// Ratio to the typical latency of the service up to which a higher latency adds no cost.
    pub latency_tolerance: f64,
    /// Half-life of the share of attempts that an endpoint did not serve.
    pub unserved_half_life: Duration,
    /// Half-life of the load that an endpoint reports.
    pub load_half_life: Duration,
    /// Age after which the admission level of a load report is ignored.
    pub level_lifetime: Duration,
    /// Cap on an endpoint's reported limit, as a multiple of the median limit of its service.
    pub limit_ratio_limit: f64,
    /// Age at which an attempt is overdue, in typical latencies of the service. It also scales the
    /// extra cost of an endpoint with overdue attempts.
    pub overdue_factor: f64,
    /// Minimum age at which an attempt is overdue.
    pub overdue_minimum: Duration,
    /// Number of overdue attempts that eject an endpoint that still answers others. One is enough
    /// while the endpoint recovers from an ejection.
    pub overdue_count: usize,
    /// Number of failures in a row that eject an endpoint.
    pub consecutive_failures: u32,
    /// Duration of a first ejection. It doubles with each further ejection in a row.
    pub ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub ejection_time_limit: Duration,
    /// Number of probes in a row that an endpoint must answer after an ejection.
    pub probes: u32,
    /// Maximum latency of a successful probe, in typical latencies of the service.
    pub probe_factor: f64,
    /// Maximum share of a service's endpoints that are ejected at once. Above it, the service as a
    /// whole is assumed to be at fault, and the endpoints are probed instead.
    pub ejected_share_limit: f64,
    /// Share of its normal traffic that an endpoint gets when its ramp starts.
    pub ramp_floor: f64,
    /// Duration of the ramp of a new endpoint.
    pub cold_start_ramp: Duration,
    /// Duration of the ramp after an ejection.
    pub recovery_ramp: Duration,
}

impl Default for RoutingSettings {
    fn default() -> Self {
        Self {
            zone_hop: Duration::from_millis(1),
            zone_hop_weight_limit: 0.25,
            latency_decay: Duration::from_secs(1),
            latency_tolerance: 2.5,
            unserved_half_life: Duration::from_secs(2),
            load_half_life: Duration::from_millis(500),
            level_lifetime: Duration::from_secs(1),
            limit_ratio_limit: 4.0,
            overdue_factor: 8.0,
            overdue_minimum: Duration::from_millis(20),
            overdue_count: 3,
            consecutive_failures: 5,
            ejection_time: Duration::from_secs(1),
            ejection_time_limit: Duration::from_secs(30),
            probes: 5,
            probe_factor: 3.0,
            ejected_share_limit: 0.5,
            ramp_floor: 0.05,
            cold_start_ramp: Duration::from_secs(10),
            recovery_ramp: Duration::from_secs(5),
        }
    }
}
