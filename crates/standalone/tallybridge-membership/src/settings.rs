//! Settings of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts, fanouts and byte limits of the membership protocol.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Time between two probes of one node.
    pub probe_interval: Duration,
    /// Time after a ping until helpers are asked for indirect pings.
    pub ping_timeout: Duration,
    /// Time after a ping until the member is suspected.
    pub probe_timeout: Duration,
    /// Number of helpers asked when a ping is not answered.
    pub indirect_probes: usize,
    /// Time between two gossip rounds.
    pub gossip_interval: Duration,
    /// Number of members that receive each gossip round.
    pub gossip_fanout: usize,
    /// λ: each update is sent at most λ·log2(members) times by one node.
    pub transmit_factor: f64,
    /// Number of members that receive the first gossip round of a leaving node.
    pub leave_fanout: usize,
    /// Number of gossip rounds sent after a change of the revision or partition epoch.
    pub revision_rounds: u32,
    /// Time from suspicion to death once enough nodes have confirmed the suspicion.
    pub suspicion_min: Duration,
    /// Time from suspicion to death without confirmations, as a multiple of `suspicion_min`.
    pub suspicion_max_factor: f64,
    /// Number of independent confirmations that reduce the time to `suspicion_min`.
    pub suspicion_confirmations: usize,
    /// Factor applied to the time from suspicion to death if most of the member's zone was
    /// suspected at once.
    pub zone_suspicion_factor: f64,
    /// Mean time between two comparisons with a random member.
    pub compare_interval: Duration,
    /// Minimum time between two comparisons triggered by a differing digest.
    pub compare_spacing: Duration,
    /// Time that this table must be unchanged before a differing digest triggers a comparison.
    pub unchanged_before_compare: Duration,
    /// Time between the first two comparisons while a node catches up after its start; it doubles
    /// with each comparison.
    pub catch_up_interval: Duration,
    /// Time between two attempts to reach a dead member and a seed without a live member.
    pub reach_interval: Duration,
    /// Time until members that died or left are removed from the table; dead members are retried
    /// until then.
    pub dead_retention: Duration,
    /// Bytes per second for gossip and comparisons; probes and their answers are always sent.
    pub bytes_per_second: u32,
    /// Maximum unused byte budget that accumulates for a burst.
    pub burst_bytes: u32,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            ping_timeout: Duration::from_millis(300),
            probe_timeout: Duration::from_secs(1),
            indirect_probes: 3,
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 3,
            transmit_factor: 2.0,
            leave_fanout: 16,
            revision_rounds: 3,
            suspicion_min: Duration::from_secs(4),
            suspicion_max_factor: 4.0,
            suspicion_confirmations: 3,
            zone_suspicion_factor: 2.0,
            compare_interval: Duration::from_secs(40),
            compare_spacing: Duration::from_secs(2),
            unchanged_before_compare: Duration::from_secs(3),
            catch_up_interval: Duration::from_millis(300),
            reach_interval: Duration::from_secs(5),
            dead_retention: Duration::from_secs(2 * 60 * 60),
            bytes_per_second: 4096,
            burst_bytes: 32 << 10,
        }
    }
}
