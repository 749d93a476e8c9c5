//! Outliers: back ends that fail far more calls than other back ends of their service.
//!
//! An executor is an outlier when its failure rate exceeds the baseline of its service, the lower
//! quartile, by more than `MIN_OUTLIER_EXCESS` plus `EXCESS_PER_BASELINE` times the baseline. An
//! outlier gets a cost in proportion to the excess and occasional probes. A call that failed at an
//! outlier is worth a retry elsewhere.
//!
//! Without this rule, a back end that fails immediately looks idle and attracts all calls. A
//! failure further down the chain affects all executors of a service alike, so they are compared
//! with each other. An entry sees too few calls of each executor to estimate failure rates; it uses
//! the moving average that the executor's node reports in 255ths and sends at once when it rises.

use std::{net::SocketAddr, time::Duration};

use tokio::time::Instant;

use super::{Candidate, PeerTable, PlacementQuery};
use crate::protocol::Load;

/// Excess over the baseline from which an executor is an outlier, while the baseline is 0. Small
/// random differences must not move calls between zones.
const MIN_OUTLIER_EXCESS: f64 = 0.2;
/// Additional excess for each unit of the baseline. Failure rates vary more by chance where many
/// calls fail.
const EXCESS_PER_BASELINE: f64 = 0.5;
/// Cost of an outlier that fails every call while others fail none, in utilization. High enough to
/// fill the queues of the others first.
const OUTLIER_COST: f64 = 6.0;
/// Time between two probes of an outlier by one entry, for each selected node of the entry. About
/// as many entries select the outlier, so the total rate of probes does not depend on the fleet
/// size.
const PROBE_INTERVAL_PER_NODE: Duration = Duration::from_millis(50);

/// Lower quartile of the failure rates of a service's executors, 0 to 1. A failure further down the
/// chain would move their mean.
#[derive(Debug, Clone, Copy)]
pub(super) struct BaselineFailureRate(f64);

impl BaselineFailureRate {
    pub(super) fn from_loads(loads: impl Iterator<Item = Load>) -> Self {
        let mut failure_rates: Vec<u8> = loads.map(|load| load.failing).collect();
        failure_rates.sort_unstable();
        let quartile_index = failure_rates.len().saturating_sub(1) / 4;
        let baseline = failure_rates.get(quartile_index).copied().unwrap_or(0);
        Self(Load::share_from_wire(baseline))
    }

    /// Returns the excess of a failure rate over the baseline, 0 to 1.
    fn excess(self, load: Load) -> f64 {
        (load.failure_rate() - self.0).max(0.0)
    }

    fn is_outlier(self, load: Load) -> bool {
        self.excess(load) > MIN_OUTLIER_EXCESS + self.0 * EXCESS_PER_BASELINE
    }
}

impl PeerTable {
    /// Returns whether an executor is an outlier of its service. A failure at an outlier is
    /// probably due to the executor and not to the call.
    #[must_use]
    pub fn is_outlier(
        &self,
        query: &PlacementQuery<'_>,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        let unfiltered_query = PlacementQuery {
            tried: &[],
            ..*query
        };
        let candidates = self.candidates(&unfiltered_query, now);
        let baseline =
            BaselineFailureRate::from_loads(candidates.iter().map(|candidate| candidate.load));
        let mut matching = candidates.iter().filter(|other| other.address == address);
        matching.any(|candidate| self.counts_as_outlier(candidate.load, baseline))
    }

    fn counts_as_outlier(&self, load: Load, baseline: BaselineFailureRate) -> bool {
        self.policy.outliers_last && baseline.is_outlier(load)
    }

    /// Returns the cost of an executor that fails more calls than others, in utilization.
    pub(super) fn outlier_cost(&self, load: Load, baseline: BaselineFailureRate) -> f64 {
        if self.counts_as_outlier(load, baseline) {
            baseline.excess(load) * OUTLIER_COST
        } else {
            0.0
        }
    }

    /// Returns an outlier to probe, which then has no cost for this call. Only idempotent calls are
    /// used as probes, because a failed probe is retried elsewhere.
    pub(super) fn executor_to_probe(
        &self,
        query: &PlacementQuery<'_>,
        candidates: &[Candidate],
        baseline: BaselineFailureRate,
    ) -> Option<SocketAddr> {
        if !query.is_idempotent {
            return None;
        }
        candidates
            .iter()
            .find(|candidate| {
                candidate.may_probe && self.counts_as_outlier(candidate.load, baseline)
            })
            .map(|candidate| candidate.address)
    }

    /// Returns whether an executor that was last probed at `probed_at` may be probed again.
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
