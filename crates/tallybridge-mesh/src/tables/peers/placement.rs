//! Which executor gets a call.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::{PeerRow, PeerTable};
use crate::protocol::BackendState;
use crate::{link::Link, protocol::Load};

/// Added to the utilization of an executor in another zone: crossing costs bytes, not much time.
const CROSSING_COST: f64 = 0.35;
/// An executor above this utilization counts as full, wherever it is.
const FULL: f64 = 0.9;
/// Back ends of a service differ in speed; one that takes more than this many times as long as the
/// fastest is passed over for it.
const USUAL_SLOWNESS: f64 = 4.0;
/// What each further multiple of the fastest time costs, in utilization.
const SLOWNESS_COST: f64 = 0.3;
/// Most that slowness costs.
const MAX_SLOWNESS_COST: f64 = 2.0;
/// Most that chance adds to a score, so that entries with the same news don't choose alike.
const SPREAD: f64 = 0.06;
/// A utilization far above any real one.
const LAST_RESORT: f64 = 100.0;
/// What an executor that loses every call is put behind by, in utilization.
const LOSS_COST: f64 = 2.0;
/// A back end that fails this much larger a share of its calls than is usual in its service is an
/// outlier: it answers fast, looks idle, and would draw all calls to itself.
const OUTLIER: f64 = 0.2;
/// Added to that for each part of the calls that usually fail, as shares then differ more by chance.
const OUTLIER_PER_USUAL: f64 = 0.5;
/// What an outlier that fails every call is put behind by: others are filled to the end of their
/// queues first. One that fails some calls is still better than a refusal.
const OUTLIER_COST: f64 = 6.0;
/// Each node that an entry links to adds this to the time between two calls by which it finds out
/// whether an outlier has recovered, so that all entries together send about twenty a second.
const PROBE_PER_NODE: Duration = Duration::from_millis(50);

/// Where a call can be executed.
#[derive(Debug, Clone)]
pub enum Executor {
    /// Beside this node.
    Local,
    /// Beside another node.
    Peer(SocketAddr, Arc<Link>),
}

/// What is asked of the choice of an executor.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The service that is called.
    pub service: &'a str,
    /// Load of the back end beside this node, if it is of the service and takes work.
    pub local: Option<Load>,
    /// Executors that the call was sent to before.
    pub tried: &'a [SocketAddr],
    /// Whether the call may run again elsewhere, so that it may find out about an outlier.
    pub is_idempotent: bool,
}

/// An executor that may take a call, with what speaks against it.
struct Candidate {
    address: SocketAddr,
    score: f64,
    load: Load,
    probe_due: bool,
    executor: Executor,
}

impl PeerTable {
    /// Chooses where a call is executed, among those that were not tried.
    #[must_use]
    pub fn choose(&mut self, choice: &PlacementQuery<'_>, now: Instant) -> Option<Executor> {
        let mut random = rand::rng();
        let mut candidates = self.candidates(choice, now);
        let fastest = fastest_ms(&candidates);
        let usual = UsualFailing::of(&candidates);
        let mut probed = None;
        for candidate in &mut candidates {
            if self.policy.slow_last {
                candidate.score += slowness_cost(candidate.load.service_ms, fastest);
            }
            candidate.score += random.random_range(0.0..SPREAD);
            if !self.policy.outliers_last || !usual.is_exceeded_by(candidate.load) {
                continue;
            }
            if choice.is_idempotent && candidate.probe_due && probed.is_none() {
                probed = Some(candidate.address);
            } else {
                candidate.score += usual.excess(candidate.load) * OUTLIER_COST;
            }
        }
        let best = candidates
            .into_iter()
            .min_by(|left, right| left.score.total_cmp(&right.score))?;
        if probed == Some(best.address) {
            self.note_probe(best.address, now);
        }
        Some(best.executor)
    }

    /// Whether a back end fails so much larger a share of its calls than others of its service
    /// that a failure says more of it than of the call.
    #[must_use]
    pub fn is_outlier(
        &self,
        choice: &PlacementQuery<'_>,
        address: SocketAddr,
        now: Instant,
    ) -> bool {
        let untried = PlacementQuery {
            tried: &[],
            ..*choice
        };
        let candidates = self.candidates(&untried, now);
        let usual = UsualFailing::of(&candidates);
        let mut found = candidates.iter().filter(|other| other.address == address);
        self.policy.outliers_last && found.any(|candidate| usual.is_exceeded_by(candidate.load))
    }

    fn candidates(&self, choice: &PlacementQuery<'_>, now: Instant) -> Vec<Candidate> {
        let probe_pause = PROBE_PER_NODE * u32::try_from(self.subset_size()).unwrap_or(u32::MAX);
        let probe_due = |probed_at: Option<Instant>| {
            probed_at.is_none_or(|at| now.saturating_duration_since(at) >= probe_pause)
        };
        let local = choice
            .local
            .filter(|_| !choice.tried.contains(&self.own.address))
            .map(|load| Candidate {
                address: self.own.address,
                score: load_score(load, 0) + self.own_lost_share * LOSS_COST,
                load,
                probe_due: probe_due(self.own_probed_at),
                executor: Executor::Local,
            });
        let peers = self.rows.iter().filter_map(|(address, row)| {
            if &*row.service != choice.service || choice.tried.contains(address) {
                return None;
            }
            let link = row.link.clone()?;
            if !row.status.backend.takes_work() {
                return None;
            }
            Some(Candidate {
                address: *address,
                score: row.score(link.is_suspect(), now) + self.crossing_cost(row),
                load: row.status.load,
                probe_due: probe_due(row.probed_at),
                executor: Executor::Peer(*address, link),
            })
        });
        local.into_iter().chain(peers).collect()
    }

    fn crossing_cost(&self, row: &PeerRow) -> f64 {
        if self.policy.prefer_own_zone && row.record.zone != self.own.zone {
            CROSSING_COST
        } else {
            0.0
        }
    }

    fn note_probe(&mut self, address: SocketAddr, now: Instant) {
        match self.rows.get_mut(&address) {
            Some(row) => row.probed_at = Some(now),
            None => self.own_probed_at = Some(now),
        }
    }
}

fn fastest_ms(candidates: &[Candidate]) -> u16 {
    let times = candidates.iter().map(|candidate| candidate.load.service_ms);
    times.filter(|time| *time > 0).min().unwrap_or(0)
}

/// The share of calls that back ends of a service usually fail: that of the one at the lower
/// quarter. What fails for a reason further down fails at all of them alike.
#[derive(Debug, Clone, Copy)]
struct UsualFailing(f64);

impl UsualFailing {
    fn of(candidates: &[Candidate]) -> Self {
        let shares = candidates.iter().map(|candidate| candidate.load.failing);
        let mut shares: Vec<u8> = shares.collect();
        shares.sort_unstable();
        let quarter = shares.len().saturating_sub(1) / 4;
        let usual = shares.get(quarter).copied().unwrap_or(0);
        Self(Load::share_of(usual))
    }

    fn excess(self, load: Load) -> f64 {
        (load.failing_share() - self.0).max(0.0)
    }

    fn is_exceeded_by(self, load: Load) -> bool {
        self.excess(load) > OUTLIER + self.0 * OUTLIER_PER_USUAL
    }
}

fn slowness_cost(service_ms: u16, fastest_ms: u16) -> f64 {
    let slowness = f64::from(service_ms) / f64::from(fastest_ms.max(1));
    ((slowness - USUAL_SLOWNESS) * SLOWNESS_COST).clamp(0.0, MAX_SLOWNESS_COST)
}

impl PeerRow {
    /// What speaks against sending a call here, in utilization.
    fn score(&self, is_suspect: bool, now: Instant) -> f64 {
        let mut score = load_score(self.status.load, self.sent_since_report);
        score += self.lost_share * LOSS_COST;
        if is_suspect || self.avoid_until.is_some_and(|until| now < until) {
            score += LAST_RESORT;
        }
        if self.status.backend == BackendState::Stopping {
            score += LAST_RESORT / 2.0;
        }
        score
    }
}

fn load_score(load: Load, more: u32) -> f64 {
    let utilization = load.utilization(more);
    if utilization >= FULL {
        utilization + 1.0
    } else {
        utilization
    }
}
