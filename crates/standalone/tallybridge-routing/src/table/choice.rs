//! Two random choices, nearest first.
//!
//! The lesser loaded of two random endpoints is nearly as good as the least loaded of all and, with
//! old reports, better (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
//! 2001; "How Useful Is Old Information?", 2000). A third choice in another zone lets load leave
//! the zone as soon as the hop is worth it.

use std::time::Instant;

use rand::{Rng, rngs::SmallRng};
use tallybridge_core::NodeId;

use super::{cost, profile::ServiceProfile};
use crate::{RoutingSettings, endpoint::row::EndpointRow};

/// Endpoints compared within the nearest zone that has any.
const NEAR_CHOICES: usize = 2;
/// Endpoints of the other zones that these are compared with.
const FAR_CHOICES: usize = 1;
/// Random draws before the rest of a group is searched in order.
const MOST_DRAWS: usize = 4;

/// Row numbers of a service's endpoints, by what may be chosen.
#[derive(Debug, Clone, Default)]
pub struct Groups {
    /// Endpoints that take new work, one group for each [`Proximity`](crate::Proximity).
    pub open: [Vec<usize>; 3],
    /// Endpoints that would take new work but are ejected.
    pub ejected: Vec<usize>,
}

/// What one choice depends on.
pub struct Choice<'a> {
    /// All rows of the service.
    pub rows: &'a [EndpointRow],
    /// Which of them may be chosen.
    pub groups: &'a Groups,
    /// Endpoints that the caller doesn't want.
    pub excluded: &'a [NodeId],
    /// What is usual for the service.
    pub profile: &'a ServiceProfile,
    /// Settings of the table.
    pub settings: &'a RoutingSettings,
    /// Time of the choice.
    pub now: Instant,
}

impl Choice<'_> {
    /// Chooses a row, if any may be chosen.
    #[must_use]
    pub fn choose(&self, rng: &mut SmallRng) -> Option<usize> {
        let candidates = self.candidates(rng);
        self.cheapest(&candidates, rng)
    }

    fn candidates(&self, rng: &mut SmallRng) -> Vec<usize> {
        let [same_zone, same_region, other_region] = &self.groups.open;
        let mut candidates = Vec::with_capacity(NEAR_CHOICES + FAR_CHOICES);
        self.draw(same_zone, NEAR_CHOICES, &mut candidates, rng);
        let in_region = if candidates.is_empty() {
            NEAR_CHOICES
        } else {
            FAR_CHOICES
        };
        self.draw(same_region, in_region, &mut candidates, rng);
        if candidates.is_empty() {
            self.draw(other_region, NEAR_CHOICES, &mut candidates, rng);
        }
        if candidates.is_empty() {
            self.draw(&self.groups.ejected, NEAR_CHOICES, &mut candidates, rng);
        }
        candidates
    }

    /// Adds up to `count` different endpoints of the group.
    fn draw(&self, group: &[usize], count: usize, into: &mut Vec<usize>, rng: &mut SmallRng) {
        for _ in 0..count {
            let Some(drawn) = self.draw_one(group, into, rng) else {
                return;
            };
            into.push(drawn);
        }
    }

    fn draw_one(&self, group: &[usize], taken: &[usize], rng: &mut SmallRng) -> Option<usize> {
        if group.is_empty() {
            return None;
        }
        let is_free = |row: &usize| !taken.contains(row) && !self.is_excluded(*row);
        for _ in 0..MOST_DRAWS {
            let drawn = group[rng.random_range(0..group.len())];
            if is_free(&drawn) {
                return Some(drawn);
            }
        }
        let (before, from) = group.split_at(rng.random_range(0..group.len()));
        from.iter().chain(before).copied().find(is_free)
    }

    fn is_excluded(&self, row: usize) -> bool {
        self.excluded.contains(&self.rows[row].endpoint.node)
    }

    /// The cheapest of those that are held back least.
    fn cheapest(&self, candidates: &[usize], rng: &mut SmallRng) -> Option<usize> {
        let mut best: Option<(HeldBack, f64, usize)> = None;
        for &candidate in candidates {
            let row = &self.rows[candidate];
            let held_back = self.held_back(row, rng);
            let cost = cost::of_row(row, self.profile, self.settings, self.now);
            let is_better = best.is_none_or(|(least_held_back, least_cost, _)| {
                (held_back, cost) < (least_held_back, least_cost)
            });
            if is_better {
                best = Some((held_back, cost, candidate));
            }
        }
        best.map(|(_, _, row)| row)
    }

    fn held_back(&self, row: &EndpointRow, rng: &mut SmallRng) -> HeldBack {
        if !row.admits_probe() {
            return HeldBack::ByProbe;
        }
        let share = row.health.share(self.settings, self.now) / self.profile.greatest_share;
        if share < 1.0 && rng.random::<f64>() >= share {
            HeldBack::ByRamp
        } else {
            HeldBack::Not
        }
    }
}

/// Why a candidate should not get this call if another can, weakest reason first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum HeldBack {
    Not,
    /// The ramp lets only a share of the calls through.
    ByRamp,
    /// A probe is out and not answered yet.
    ByProbe,
}
