//! Choice of an endpoint by the power of two random choices, nearest zone first.
//!
//! The less loaded of two random endpoints is nearly as good as the least loaded of all, and better
//! when load reports are old (Mitzenmacher, "The Power of Two Choices in Randomized Load
//! Balancing", 2001; "How Useful Is Old Information?", 2000). A third candidate from another zone
//! moves load out of the local zone once it is busy enough to justify the hop.

use std::time::Instant;

use rand::{Rng, rngs::SmallRng};
use tallybridge_core::NodeId;

use super::{cost, profile::ServiceProfile};
use crate::{RoutingSettings, endpoint::row::EndpointRow};

/// Number of candidates from the nearest group that has any.
const NEAR_CANDIDATES: usize = 2;
/// Number of candidates from the other zones of the region when the local zone has candidates.
const FAR_CANDIDATES: usize = 1;
/// Number of random draws after which the group is searched in order.
const MAX_RANDOM_DRAWS: usize = 4;

/// Row indices of the endpoints that take new work.
#[derive(Debug, Clone, Default)]
pub struct Groups {
    /// Endpoints that are not ejected, indexed by [`Proximity`](crate::Proximity).
    pub by_proximity: [Vec<usize>; 3],
    /// Endpoints that are ejected. They are candidates only when there is no other.
    pub ejected: Vec<usize>,
}

/// Inputs of one choice.
pub struct Choice<'a> {
    /// All rows of the service.
    pub rows: &'a [EndpointRow],
    /// Indices into `rows`, by proximity and ejection.
    pub groups: &'a Groups,
    /// Nodes that the caller excludes, such as those of earlier attempts at the same call.
    pub excluded: &'a [NodeId],
    /// Typical values for the endpoints of the service.
    pub profile: &'a ServiceProfile,
    /// Settings of the table.
    pub settings: &'a RoutingSettings,
    /// Time of the choice.
    pub now: Instant,
}

impl Choice<'_> {
    /// Returns the index of the chosen row, or `None` if there is no candidate.
    #[must_use]
    pub fn choose(&self, rng: &mut SmallRng) -> Option<usize> {
        let candidates = self.candidates(rng);
        self.cheapest(&candidates, rng)
    }

    fn candidates(&self, rng: &mut SmallRng) -> Vec<usize> {
        let [same_zone, same_region, other_region] = &self.groups.by_proximity;
        let mut candidates = Vec::with_capacity(NEAR_CANDIDATES + FAR_CANDIDATES);
        self.draw(same_zone, NEAR_CANDIDATES, &mut candidates, rng);
        let region_count = if candidates.is_empty() {
            NEAR_CANDIDATES
        } else {
            FAR_CANDIDATES
        };
        self.draw(same_region, region_count, &mut candidates, rng);
        if candidates.is_empty() {
            self.draw(other_region, NEAR_CANDIDATES, &mut candidates, rng);
        }
        if candidates.is_empty() {
            self.draw(&self.groups.ejected, NEAR_CANDIDATES, &mut candidates, rng);
        }
        candidates
    }

    /// Adds up to `count` distinct endpoints of the group to the candidates.
    fn draw(&self, group: &[usize], count: usize, candidates: &mut Vec<usize>, rng: &mut SmallRng) {
        for _ in 0..count {
            let Some(drawn) = self.draw_one(group, candidates, rng) else {
                return;
            };
            candidates.push(drawn);
        }
    }

    fn draw_one(
        &self,
        group: &[usize],
        already_drawn: &[usize],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        if group.is_empty() {
            return None;
        }
        let is_eligible = |row: &usize| !already_drawn.contains(row) && !self.is_excluded(*row);
        for _ in 0..MAX_RANDOM_DRAWS {
            let drawn = group[rng.random_range(0..group.len())];
            if is_eligible(&drawn) {
                return Some(drawn);
            }
        }
        let (before, after) = group.split_at(rng.random_range(0..group.len()));
        after.iter().chain(before).copied().find(is_eligible)
    }

    fn is_excluded(&self, row: usize) -> bool {
        self.excluded.contains(&self.rows[row].endpoint.node)
    }

    /// Returns the candidate with the lowest cost among those with the weakest deferral.
    fn cheapest(&self, candidates: &[usize], rng: &mut SmallRng) -> Option<usize> {
        let mut best: Option<(Deferral, f64, usize)> = None;
        for &candidate in candidates {
            let row = &self.rows[candidate];
            let deferral = self.deferral(row, rng);
            let cost = cost::expected_cost(row, self.profile, self.settings, self.now);
            let is_better = best.is_none_or(|(best_deferral, best_cost, _)| {
                (deferral, cost) < (best_deferral, best_cost)
            });
            if is_better {
                best = Some((deferral, cost, candidate));
            }
        }
        best.map(|(_, _, row)| row)
    }

    fn deferral(&self, row: &EndpointRow, rng: &mut SmallRng) -> Deferral {
        if !row.admits_probe() {
            return Deferral::ProbeInFlight;
        }
        let share = row.health.traffic_share(self.settings, self.now) / self.profile.max_ramp_share;
        if share < 1.0 && rng.random::<f64>() >= share {
            Deferral::Ramp
        } else {
            Deferral::None
        }
    }
}

/// Reason to prefer another candidate for the call. The order of the variants matters: the weakest
/// reason comes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum Deferral {
    None,
    /// The ramp of the endpoint lets only a share of its calls through.
    Ramp,
    /// The endpoint has a probe in flight.
    ProbeInFlight,
}
