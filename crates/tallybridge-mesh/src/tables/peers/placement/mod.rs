//! Chooses the executor of a call.
//!
//! A call goes to the executor of its service with the lowest score, among the executors that were
//! not tried and whose back ends accept work. The score is the utilization of the back end plus
//! costs in the same unit: for another zone, a full back end, slow calls, calls with unknown
//! outcomes, failures ([`outliers`]), suspect links and a planned stop. A small random part is
//! added.
//!
//! Every disadvantage is a cost and not a filter, so a call is still sent when every executor has
//! one. An entry sees few calls of each back end and therefore relies on the [`Load`] that nodes
//! report: with each answer, when the load changes, and in reply to each ping. Calls sent since a
//! report are added to the load.

mod outliers;

use std::{net::SocketAddr, sync::Arc};

use rand::Rng;
use tokio::time::Instant;

use self::outliers::BaselineFailureRate;
use super::{PeerRow, PeerTable};
use crate::{
    link::Link,
    protocol::{BackendState, Load},
};

/// Cost of an executor in another zone, in utilization. Traffic between zones is billed.
const CROSS_ZONE_COST: f64 = 0.35;
/// Utilization from which an executor counts as full.
const FULL_UTILIZATION: f64 = 0.9;
/// Cost of a full executor, in utilization. Must exceed `CROSS_ZONE_COST`, so that an executor with
/// room in another zone is preferred.
const FULL_COST: f64 = 1.0;
/// Multiple of the fastest executor's call time up to which slowness has no cost.
const MAX_FREE_SLOWNESS: f64 = 4.0;
/// Cost of each further multiple of the fastest call time, in utilization.
const SLOWNESS_COST_PER_MULTIPLE: f64 = 0.3;
/// Upper bound of the cost of slowness, in utilization.
const MAX_SLOWNESS_COST: f64 = 2.0;
/// Upper bound of the random part of a score, in utilization. Entries with the same reports would
/// otherwise all choose the same executor. With a larger part calls wait longer for a slot.
const RANDOM_SPREAD: f64 = 0.06;
/// Cost of an executor that is suspect or avoided, in utilization. Exceeds every real utilization,
/// so that such an executor is chosen only if there is no other. A stopping node costs half as much
/// and is therefore preferred to such an executor: the last back end of a service may stand beside
/// a stopping node.
const LAST_RESORT_COST: f64 = 100.0;
/// Cost of an executor with a loss rate of 1, in utilization. The cost is proportional to the loss
/// rate.
const LOSS_COST: f64 = 2.0;

/// Where to execute a call.
#[derive(Debug, Clone)]
pub enum Executor {
    /// The back end beside this node.
    Local,
    /// The back end beside the peer at this address, over this link.
    Peer(SocketAddr, Arc<Link>),
}

/// A call that needs an executor.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The called service.
    pub service: &'a str,
    /// Load of the back end beside this node; `None` if it belongs to another service or accepts no
    /// work.
    pub local: Option<Load>,
    /// Addresses of executors that the call was already sent to.
    pub tried: &'a [SocketAddr],
    /// Whether the call may be executed again, so that it may probe an outlier.
    pub is_idempotent: bool,
}

/// An executor that may take a call.
struct Candidate {
    address: SocketAddr,
    /// Part of the score that does not depend on other candidates.
    base_score: f64,
    load: Load,
    /// Whether the executor may be probed if it is an outlier.
    may_probe: bool,
    executor: Executor,
}

impl PeerTable {
    /// Chooses the executor of a call; `None` if no untried executor accepts work.
    #[must_use]
    pub fn choose(&mut self, query: &PlacementQuery<'_>, now: Instant) -> Option<Executor> {
        let candidates = self.candidates(query, now);
        let fastest_ms = fastest_ms(&candidates);
        let baseline =
            BaselineFailureRate::from_loads(candidates.iter().map(|candidate| candidate.load));
        let probe_target = self.executor_to_probe(query, &candidates, baseline);
        let mut random = rand::rng();
        let scored = candidates.into_iter().map(|candidate| {
            let mut score = candidate.base_score;
            score += self.slowness_cost(candidate.load, fastest_ms);
            score += random.random_range(0.0..RANDOM_SPREAD);
            if probe_target != Some(candidate.address) {
                score += self.outlier_cost(candidate.load, baseline);
            }
            (score, candidate)
        });
        let (_, best) = scored.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        if probe_target == Some(best.address) {
            self.record_probe(best.address, now);
        }
        Some(best.executor)
    }

    /// Returns the untried executors of a service that accept work.
    fn candidates(&self, query: &PlacementQuery<'_>, now: Instant) -> Vec<Candidate> {
        let local = query
            .local
            .filter(|_| !query.tried.contains(&self.own.address))
            .map(|load| self.local_candidate(load, now));
        let peers = self
            .rows
            .iter()
            .filter(|(address, row)| {
                *row.service == *query.service && !query.tried.contains(address)
            })
            .filter_map(|(address, row)| self.peer_candidate(*address, row, now));
        local.into_iter().chain(peers).collect()
    }

    fn local_candidate(&self, load: Load, now: Instant) -> Candidate {
        Candidate {
            address: self.own.address,
            base_score: utilization_score(load, 0) + self.own_loss_rate * LOSS_COST,
            load,
            may_probe: self.is_probe_due(self.own_probed_at, now),
            executor: Executor::Local,
        }
    }

    fn peer_candidate(
        &self,
        address: SocketAddr,
        row: &PeerRow,
        now: Instant,
    ) -> Option<Candidate> {
        let link = row.link.clone()?;
        if !row.status.backend.takes_work() {
            return None;
        }
        Some(Candidate {
            address,
            base_score: row.score_without_zone(link.is_suspect(), now) + self.cross_zone_cost(row),
            load: row.status.load,
            may_probe: self.is_probe_due(row.probed_at, now),
            executor: Executor::Peer(address, link),
        })
    }

    fn cross_zone_cost(&self, row: &PeerRow) -> f64 {
        if self.policy.prefer_own_zone && row.record.zone != self.own.zone {
            CROSS_ZONE_COST
        } else {
            0.0
        }
    }

    fn slowness_cost(&self, load: Load, fastest_ms: u16) -> f64 {
        if !self.policy.slow_last {
            return 0.0;
        }
        let slowness = f64::from(load.service_ms) / f64::from(fastest_ms.max(1));
        ((slowness - MAX_FREE_SLOWNESS) * SLOWNESS_COST_PER_MULTIPLE).clamp(0.0, MAX_SLOWNESS_COST)
    }
}

impl PeerRow {
    /// Returns the part of the score that depends neither on other executors nor on zones.
    fn score_without_zone(&self, is_suspect: bool, now: Instant) -> f64 {
        let mut score = utilization_score(self.status.load, self.sent_since_report);
        score += self.loss_rate * LOSS_COST;
        if is_suspect || self.avoid_until.is_some_and(|until| now < until) {
            score += LAST_RESORT_COST;
        }
        if self.status.backend == BackendState::Stopping {
            score += LAST_RESORT_COST / 2.0;
        }
        score
    }
}

/// Returns the utilization, plus `FULL_COST` for a full back end. `unreported` is the number of
/// calls that `load` does not include yet.
fn utilization_score(load: Load, unreported: u32) -> f64 {
    let utilization = load.utilization(unreported);
    if utilization >= FULL_UTILIZATION {
        utilization + FULL_COST
    } else {
        utilization
    }
}

/// Returns the shortest mean call time among the candidates in milliseconds, or 0 if none is known.
fn fastest_ms(candidates: &[Candidate]) -> u16 {
    let times = candidates.iter().map(|candidate| candidate.load.service_ms);
    times.filter(|time| *time > 0).min().unwrap_or(0)
}
