//! Settings of membership.

use std::time::Duration;

/// How often members are probed, how long they are suspected and what may be sent.
#[derive(Debug, Clone)]
pub struct MembershipSettings {
    /// Time between two probes by one node.
    pub probe_interval: Duration,
    /// Time after a ping until helpers are asked to ping as well.
    pub ping_timeout: Duration,
    /// Time after a ping until the member is suspected.
    pub probe_timeout: Duration,
    /// Helpers asked when a ping is not answered.
    pub indirect_probes: usize,
    /// Time between two rounds of updates sent on their own.
    pub gossip_interval: Duration,
    /// Members that get each round.
    pub gossip_fanout: usize,
    /// λ: each update is sent at most λ·log2(members) times by one node.
    pub transmit_factor: f64,
    /// Members that are told at once when this node leaves.
    pub leave_fanout: usize,
    /// Rounds that tell of a new revision.
    pub revision_rounds: u32,
    /// Shortest time from suspicion to death, reached once enough nodes confirm.
    pub suspicion_min: Duration,
    /// Time from suspicion to death without confirmations, as a multiple of the shortest.
    pub suspicion_max_factor: f64,
    /// Independent confirmations that bring the time down to the shortest.
    pub suspicion_confirmations: usize,
    /// Multiple of the time to death while most of the member's zone is suspected at once.
    pub zone_hold_factor: f64,
    /// Mean time between two comparisons with a random member.
    pub compare_interval: Duration,
    /// Shortest time between two comparisons caused by a differing digest.
    pub compare_spacing: Duration,
    /// How long this table must be unchanged before a differing digest causes a comparison.
    pub quiet_before_compare: Duration,
    /// Time between the first two comparisons while this node is catching up after its start; it
    /// doubles with each.
    pub catch_up_interval: Duration,
    /// Time between two attempts to reach a member believed dead, and one of the seeds.
    pub reach_interval: Duration,
    /// How long dead members are remembered and tried again.
    pub dead_retention: Duration,
    /// Bytes a second of gossip and comparisons; probes and their answers always go.
    pub bytes_per_second: u32,
    /// Bytes that may be sent at once after a quiet time.
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
            zone_hold_factor: 2.0,
            compare_interval: Duration::from_secs(40),
            compare_spacing: Duration::from_secs(2),
            quiet_before_compare: Duration::from_secs(3),
            catch_up_interval: Duration::from_millis(300),
            reach_interval: Duration::from_secs(5),
            dead_retention: Duration::from_secs(2 * 60 * 60),
            bytes_per_second: 4096,
            burst_bytes: 32 << 10,
        }
    }
}
