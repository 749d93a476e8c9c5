//! Placement: which executor gets a call.
//!
//! **Rule.** A call goes to the executor of its service with the lowest score, among those that were
//! not tried for it and whose back ends take work. The score is the executor's utilization plus a
//! cost, in the same unit, for each thing that speaks against it.
//!
//! **Inputs.**
//!
//! | input | unit | age |
//! |---|---|---|
//! | [`Load`] of a peer's back end | calls, milliseconds, 255ths | that of its last answer to this node, or of its last status: sent when the load changes, and in answer to each ping of the link |
//! | calls sent to a peer since that load | calls | none, counted here |
//! | [`Load`] of the back end beside this node | as above | none |
//! | state of a peer's back end | [`BackendState`] | that of its last status |
//! | share of calls that got lost on the way to an executor | 0 to 1 | moving mean over some twelve calls of this node |
//! | whether an executor is suspect, or lost or refused a call within `AVOID` | | none, noted here; see [`Link::is_suspect`] |
//!
//! **Output.** An [`Executor`], or `None` when there is none left to try.
//!
//! **Why.** An entry sees few calls of each back end, so it goes by what the node beside the back end
//! reports. All that speaks against an executor is a cost and not a filter, so that a call is still
//! sent when every executor has something against it. Failure rates are compared within the service
//! in [`outliers`].
//!
//! **Constants.** Each says which measurement set it, or that none is recorded. What each policy
//! switch gains stands in `docs/DECISIONS.md` ("Ablation"). Measured and not better, in
//! `docs/FINDINGS.md`: a random choice by what back ends complete, more random spread, slowness by
//! the age of running calls, a cost for what a link adds to a call.

mod outliers;

use std::{net::SocketAddr, sync::Arc};

use rand::Rng;
use tokio::time::Instant;

use self::outliers::UsualFailureRate;
use super::{PeerRow, PeerTable};
use crate::{
    link::Link,
    protocol::{BackendState, Load},
};

/// Cost of an executor in another zone, in utilization. Traffic between zones costs money and
/// hardly any time: keeping calls in their zone gains 0.012 and 0.077 of the value of a recorded
/// day on two of three sites and serves as many (`docs/DECISIONS.md`, `prefer_own_zone`). Origin of
/// the figure not recorded.
const CROSSING_COST: f64 = 0.35;
/// Utilization from which an executor counts as full, so that one with room in another zone is
/// preferred to it. Origin not recorded.
const FULL: f64 = 0.9;
/// Cost of a full executor, in utilization: more than any crossing costs. Origin not recorded.
const FULL_COST: f64 = 1.0;
/// Multiple of the fastest executor's call time up to which slowness costs nothing. At 2.5 times, the
/// bytes between zones of a calm day grew from 0.003 to 0.010 GB, at 4 times to 0.004 GB
/// (docs/FINDINGS.md, "slow executors passed over").
const USUAL_SLOWNESS: f64 = 4.0;
/// Cost of each further multiple of the fastest call time, in utilization. Origin not recorded.
const SLOWNESS_COST: f64 = 0.3;
/// Upper bound of the cost of slowness, in utilization. Origin not recorded.
const MAX_SLOWNESS_COST: f64 = 2.0;
/// Upper bound of the random part of a score, in utilization, so that entries with the same reports
/// don't all choose the same executor. More of it (up to 2.0) made calls wait longer in a simulation
/// (docs/FINDINGS.md, "more chance in the choice"). Origin of the figure not recorded.
const RANDOM_SPREAD: f64 = 0.06;
/// Cost of an executor that is suspect, or lost or refused a call within `AVOID`, in utilization. Real
/// utilizations stay far below it, so that such an executor is chosen only for want of another. A node
/// in its planned stop costs half of it and is thus preferred to these: a service whose last back end
/// stood beside a stopping node served nothing otherwise (docs/FINDINGS.md, "planned stop").
const LAST_RESORT_COST: f64 = 100.0;
/// Cost of an executor for which every call gets lost, in utilization; in proportion below that. Set
/// together with `LOSS_GAIN` where two of three back ends lost 40% of their answers: served 0.872 ->
/// 0.930 of that day, with changes to the retry budgets and to stopping nodes besides (docs/FINDINGS.md,
/// "lose 40% of their answers"). Origin of the figure not recorded.
const LOSS_COST: f64 = 2.0;

/// Where a call can be executed.
#[derive(Debug, Clone)]
pub enum Executor {
    /// Beside this node.
    Local,
    /// Beside another node.
    Peer(SocketAddr, Arc<Link>),
}

/// A call that needs an executor.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The service that is called.
    pub service: &'a str,
    /// Load of the back end beside this node, if it is of the service and takes work.
    pub local: Option<Load>,
    /// Executors that the call was sent to before.
    pub tried: &'a [SocketAddr],
    /// Whether the call may run again elsewhere, so that it may probe an outlier.
    pub is_idempotent: bool,
}

/// An executor that may take a call.
struct Candidate {
    address: SocketAddr,
    /// The part of its score that doesn't depend on the other candidates.
    own_score: f64,
    load: Load,
    /// Whether it is time to probe it again if it is an outlier.
    probe_due: bool,
    executor: Executor,
}

impl PeerTable {
    /// Chooses where a call is executed, among the executors that were not tried; `None` when none of
    /// them takes work.
    #[must_use]
    pub fn choose(&mut self, query: &PlacementQuery<'_>, now: Instant) -> Option<Executor> {
        let candidates = self.candidates(query, now);
        let fastest_ms = fastest_ms(&candidates);
        let usual = UsualFailureRate::of(candidates.iter().map(|candidate| candidate.load));
        let probed = self.executor_to_probe(query, &candidates, usual);
        let mut random = rand::rng();
        let scored = candidates.into_iter().map(|candidate| {
            let mut score = candidate.own_score;
            score += self.slowness_cost(candidate.load, fastest_ms);
            score += random.random_range(0.0..RANDOM_SPREAD);
            if probed != Some(candidate.address) {
                score += self.outlier_cost(candidate.load, usual);
            }
            (score, candidate)
        });
        let (_, best) = scored.min_by(|(left, _), (right, _)| left.total_cmp(right))?;
        if probed == Some(best.address) {
            self.record_probe(best.address, now);
        }
        Some(best.executor)
    }

    /// The executors that take work for a service, except those that were tried.
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
            own_score: utilization_score(load, 0) + self.own_lost_share * LOSS_COST,
            load,
            probe_due: self.is_probe_due(self.own_probed_at, now),
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
            own_score: row.score(link.is_suspect(), now) + self.crossing_cost(row),
            load: row.status.load,
            probe_due: self.is_probe_due(row.probed_at, now),
            executor: Executor::Peer(address, link),
        })
    }

    fn crossing_cost(&self, row: &PeerRow) -> f64 {
        if self.policy.prefer_own_zone && row.record.zone != self.own.zone {
            CROSSING_COST
        } else {
            0.0
        }
    }

    fn slowness_cost(&self, load: Load, fastest_ms: u16) -> f64 {
        if !self.policy.slow_last {
            return 0.0;
        }
        let slowness = f64::from(load.service_ms) / f64::from(fastest_ms.max(1));
        ((slowness - USUAL_SLOWNESS) * SLOWNESS_COST).clamp(0.0, MAX_SLOWNESS_COST)
    }
}

impl PeerRow {
    /// The part of its score that doesn't depend on other executors, nor on its zone.
    fn score(&self, is_suspect: bool, now: Instant) -> f64 {
        let mut score = utilization_score(self.status.load, self.sent_since_report);
        score += self.lost_share * LOSS_COST;
        if is_suspect || self.avoid_until.is_some_and(|until| now < until) {
            score += LAST_RESORT_COST;
        }
        if self.status.backend == BackendState::Stopping {
            score += LAST_RESORT_COST / 2.0;
        }
        score
    }
}

/// Utilization with `unreported` calls that its report doesn't count yet, and the cost of being full.
fn utilization_score(load: Load, unreported: u32) -> f64 {
    let utilization = load.utilization(unreported);
    if utilization >= FULL {
        utilization + FULL_COST
    } else {
        utilization
    }
}

/// Shortest mean call time among executors, in milliseconds; 0 while none is known.
fn fastest_ms(candidates: &[Candidate]) -> u16 {
    let times = candidates.iter().map(|candidate| candidate.load.service_ms);
    times.filter(|time| *time > 0).min().unwrap_or(0)
}
