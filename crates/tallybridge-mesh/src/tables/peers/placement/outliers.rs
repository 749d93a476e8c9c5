//! Outliers: back ends that fail far more of their calls than others of their service.
//!
//! **Rule.** An executor is an outlier when the share of its calls that fail exceeds the lower
//! quartile of its service by more than `OUTLIER_EXCESS` plus `EXCESS_PER_USUAL` times that
//! quartile. An outlier is put behind others in proportion to the excess, except for probes, and a
//! failure of it is worth a retry elsewhere.
//!
//! **Inputs.** The share of calls that fail of each executor of the service, in 255ths, as its load
//! reports it: a moving mean kept by the node beside the back end, which publishes a rise at once. The
//! time of the last probe of an executor by this node.
//!
//! **Output.** A cost in utilization; the executor to probe with a call, if one is due.
//!
//! **Why.** A back end that fails at once looks idle and would draw all calls to itself. One of 17
//! that did so left 5 of 100 requests served for six seconds; with this rule that day went from
//! 0.620 to 0.941 of the value of its requests (docs/FINDINGS.md, "it looks idle and draws all
//! calls"). What fails for a reason further down the chain fails at all executors alike, so they
//! are compared with each other. Measured and not better: each entry judging for itself (it sees
//! some ten calls a second of an executor, too few), the mean of the service in place of the
//! quartile (a failure further down moves it), a retry of every failure (a request that fails at a
//! healthy back end fails at the next one too).

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;

use super::{Candidate, PeerTable, PlacementQuery};
use crate::protocol::Load;

/// Excess over the usual share of failing calls from which an executor is an outlier, while the usual
/// share is 0. Below it differences cost nothing, as putting executors behind for small ones moved
/// calls between zones by chance. Origin of the figure not recorded.
const OUTLIER_EXCESS: f64 = 0.2;
/// Added to that for each unit of the usual share, since shares differ more by chance where many calls
/// fail. Origin of the figure not recorded.
const EXCESS_PER_USUAL: f64 = 0.5;
/// Cost of an outlier that fails every call while others fail none, in utilization; in proportion below
/// that. Others are filled to the end of their queues first, and an outlier that fails some calls is
/// still preferred to a refusal. Origin of the figure not recorded.
const OUTLIER_COST: f64 = 6.0;
/// Time between two probes of one outlier by one entry, for each node that this one links to. About as
/// many entries link to the outlier, so all of them together send it some twenty probes a second
/// whatever the size of the fleet. Origin of the figure not recorded.
const PROBE_INTERVAL_PER_NODE: Duration = Duration::from_millis(50);

/// The share of calls, 0 to 1, that executors of a service usually fail: its lower quartile.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsualFailureRate(f64);

impl UsualFailureRate {
    pub(super) fn of(loads: impl Iterator<Item = Load>) -> Self {
        let mut shares: Vec<u8> = loads.map(|load| load.failing).collect();
        shares.sort_unstable();
        let quartile = shares.len().saturating_sub(1) / 4;
        // Without executors there is nothing to compare.
        let usual = shares.get(quartile).copied().unwrap_or(0);
        Self(Load::share_from_wire(usual))
    }

    /// What a share exceeds the usual one by, 0 to 1.
    fn excess(self, load: Load) -> f64 {
        (load.failure_rate() - self.0).max(0.0)
    }

    fn is_outlier(self, load: Load) -> bool {
        self.excess(load) > OUTLIER_EXCESS + self.0 * EXCESS_PER_USUAL
    }
}

impl PeerTable {
    /// Whether an executor is an outlier of its service, so that a failure says more of it than of the
    /// call.
    #[must_use]
    pub fn is_outlier(
        &self,
        query: &PlacementQuery<'_>,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        let all = PlacementQuery {
            tried: &[],
            ..*query
        };
        let candidates = self.candidates(&all, now);
        let usual = UsualFailureRate::of(candidates.iter().map(|candidate| candidate.load));
        let mut found = candidates.iter().filter(|other| other.address == address);
        found.any(|candidate| self.counts_as_outlier(candidate.load, usual))
    }

    fn counts_as_outlier(&self, load: Load, usual: UsualFailureRate) -> bool {
        self.policy.outliers_last && usual.is_outlier(load)
    }

    /// What an executor is put behind by for failing more than others, in utilization.
    pub(super) fn outlier_cost(&self, load: Load, usual: UsualFailureRate) -> f64 {
        if self.counts_as_outlier(load, usual) {
            usual.excess(load) * OUTLIER_COST
        } else {
            0.0
        }
    }

    /// An outlier that a call may be sent to at no cost, to see whether it has recovered. Only a call
    /// that may run again elsewhere is used for that.
    pub(super) fn executor_to_probe(
        &self,
        query: &PlacementQuery<'_>,
        candidates: &[Candidate],
        usual: UsualFailureRate,
    ) -> Option<SocketAddr> {
        if !query.is_idempotent {
            return None;
        }
        candidates
            .iter()
            .find(|candidate| candidate.probe_due && self.counts_as_outlier(candidate.load, usual))
            .map(|candidate| candidate.address)
    }

    /// Whether an executor that was probed last at this time may be probed again.
    pub(super) fn is_probe_due(&self, probed_at: Option<Instant>, now: Instant) -> bool {
        let nodes = u32::try_from(self.subset_size()).unwrap_or(u32::MAX);
        let interval = PROBE_INTERVAL_PER_NODE * nodes;
        probed_at.is_none_or(|at| now.saturating_duration_since(at) >= interval)
    }

    pub(super) fn record_probe(&mut self, address: SocketAddr, now: Instant) {
        match self.rows.get_mut(&address) {
            Some(row) => row.probed_at = Some(now),
            None => self.own_probed_at = Some(now),
        }
    }
}
