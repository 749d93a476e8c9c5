//! The numbers that routing is tuned by.

use std::time::Duration;

/// Settings of an endpoint table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingSettings {
    /// What a call to another zone of the region costs more than one within the zone (round trip).
    pub zone_hop: Duration,
    /// Most that the hop may weigh, in typical latencies of the service; bounds how much busier the
    /// local endpoints get than the others where calls are shorter than the hop.
    pub zone_hop_weight_limit: f64,
    /// Time constant with which a latency above the others' is forgotten.
    pub latency_decay: Duration,
    /// Ratio to the typical latency of the service up to which an endpoint's latency is noise.
    pub latency_tolerance: f64,
    /// Half-life of the share of attempts that an endpoint did not serve.
    pub unserved_half_life: Duration,
    /// Half-life of a load report.
    pub load_half_life: Duration,
    /// Age after which a report's admission level no longer counts.
    pub level_lifetime: Duration,
    /// Most that an endpoint's reported limit counts, in median limits of its service.
    pub limit_ratio_limit: f64,
    /// An attempt is overdue after this many typical latencies of the service.
    pub overdue_factor: f64,
    /// An attempt is never overdue before this time.
    pub overdue_minimum: Duration,
    /// Overdue attempts that eject an endpoint that still answers others; one while it recovers.
    pub overdue_count: usize,
    /// Failures in a row that eject an endpoint.
    pub consecutive_failures: u32,
    /// How long a first ejection lasts; each further one in a row doubles it.
    pub ejection_time: Duration,
    /// Longest ejection.
    pub ejection_time_limit: Duration,
    /// Probes, one at a time, that an endpoint must answer in a row after an ejection.
    pub probes: u32,
    /// A probe must be answered within this many typical latencies of the service.
    pub probe_factor: f64,
    /// Greatest share of a service's endpoints that is ejected at once; above it the fault is taken
    /// to be the service's, not the endpoints'.
    pub ejected_share_limit: f64,
    /// Share of its traffic with which an endpoint's ramp starts.
    pub ramp_floor: f64,
    /// How long the ramp of a new endpoint lasts.
    pub cold_start_ramp: Duration,
    /// How long the ramp of an endpoint that was ejected lasts.
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
