//! The endpoints of one service.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use tallybridge_core::{Criticality, NodeId};

use super::{
    ServiceLoad,
    choice::{Choice, Groups},
    profile::ServiceProfile,
};
use crate::{AttemptResult, NoEndpoint, RoutingSettings, endpoint::row::EndpointRow};

/// Rows of one service, in the order of their nodes.
#[derive(Debug, Clone, Default)]
pub struct ServiceRows {
    rows: Vec<EndpointRow>,
    groups: Groups,
    profile: ServiceProfile,
    reviewed: Option<Instant>,
}

impl ServiceRows {
    /// All rows.
    #[must_use]
    pub fn rows(&self) -> &[EndpointRow] {
        &self.rows
    }

    /// What is usual for the service.
    #[must_use]
    pub fn profile(&self) -> &ServiceProfile {
        &self.profile
    }

    /// Whether no row is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The row of a node.
    pub fn row_mut(&mut self, node: NodeId) -> Option<&mut EndpointRow> {
        let index = self.index_of(node).ok()?;
        self.rows.get_mut(index)
    }

    /// Adds a row; there is none of the same node.
    pub fn insert(&mut self, row: EndpointRow) {
        if let Err(index) = self.index_of(row.endpoint.node) {
            self.rows.insert(index, row);
        }
    }

    /// Marks every row as no member, before those that are get marked again.
    pub fn forget_members(&mut self) {
        for row in &mut self.rows {
            row.is_member = false;
        }
    }

    /// Drops the rows that are done, telling their nodes.
    pub fn drop_done(&mut self, mut dropped: impl FnMut(NodeId)) {
        self.rows.retain(|row| {
            let is_done = row.is_done();
            if is_done {
                dropped(row.endpoint.node);
            }
            !is_done
        });
    }

    fn index_of(&self, node: NodeId) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&node, |row| row.endpoint.node)
    }

    /// Chooses an endpoint and counts an attempt in flight there.
    pub fn choose(
        &mut self,
        excluded: &[NodeId],
        settings: &RoutingSettings,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Result<NodeId, NoEndpoint> {
        let choice = Choice {
            rows: &self.rows,
            groups: &self.groups,
            excluded,
            profile: &self.profile,
            settings,
            now,
        };
        let Some(chosen) = choice.choose(rng) else {
            return Err(self.reason_for_none());
        };
        let row = &mut self.rows[chosen];
        row.outstanding.start(now);
        Ok(row.endpoint.node)
    }

    fn reason_for_none(&self) -> NoEndpoint {
        if !self.rows.iter().any(|row| row.is_member) {
            NoEndpoint::UnknownService
        } else if self.rows.iter().any(EndpointRow::takes_new_work) {
            NoEndpoint::AllExcluded
        } else {
            NoEndpoint::AllLeaving
        }
    }

    /// Takes in how an attempt ended; says whether the row is done.
    pub fn finish(
        &mut self,
        node: NodeId,
        result: AttemptResult,
        settings: &RoutingSettings,
        now: Instant,
    ) -> bool {
        let Ok(index) = self.index_of(node) else {
            return false;
        };
        let row = &mut self.rows[index];
        let had_work = row.takes_new_work();
        row.finish(result, &self.profile, settings, now);
        let is_done = row.is_done();
        let has_failed_out = row.health.has_failed_out(settings);
        let is_first_latency = self.profile.typical_latency.is_none() && row.has_settled_latency();
        if had_work != row.takes_new_work() || has_failed_out || is_first_latency {
            self.review(settings, now);
        }
        is_done
    }

    /// Brings everything that is derived from the rows up to date.
    pub fn review(&mut self, settings: &RoutingSettings, now: Instant) {
        for row in &mut self.rows {
            row.advance(now);
        }
        self.review_ejections(settings, now);
        self.regroup();
        let greatest_share = self.greatest_share(settings, now);
        let elapsed = self.reviewed.map_or(Duration::ZERO, |reviewed| {
            now.saturating_duration_since(reviewed)
        });
        self.reviewed = Some(now);
        self.profile = ServiceProfile::of_rows(&self.rows, &self.profile, greatest_share, elapsed);
    }

    /// Ejects the suspects, unless they and those ejected before are too many: then the fault is
    /// likely the service's, and to send its load to fewer endpoints would add to it (Envoy's panic
    /// threshold). In that case they are all probed at once.
    fn review_ejections(&mut self, settings: &RoutingSettings, now: Instant) {
        let profile = self.profile;
        let is_out =
            |row: &EndpointRow| row.health.is_ejected() || row.is_suspect(&profile, settings, now);
        let takers = || self.rows.iter().filter(|row| row.takes_new_work());
        let out = takers().filter(|row| is_out(row)).count();
        let is_panic = out > most_ejected(takers().count(), settings);
        let takers = self.rows.iter_mut().filter(|row| row.takes_new_work());
        for row in takers.filter(|row| is_out(row)) {
            if is_panic {
                row.health.probe(now);
            } else if !row.health.is_ejected() {
                row.health.eject(settings, now);
            }
        }
    }

    fn regroup(&mut self) {
        let groups = &mut self.groups;
        groups.open.iter_mut().for_each(Vec::clear);
        groups.ejected.clear();
        for (index, row) in self.rows.iter().enumerate() {
            if !row.takes_new_work() {
                continue;
            }
            if row.health.is_ejected() {
                groups.ejected.push(index);
            } else {
                groups.open[row.proximity as usize].push(index);
            }
        }
    }

    fn greatest_share(&self, settings: &RoutingSettings, now: Instant) -> f64 {
        let shares = self
            .rows
            .iter()
            .filter(|row| row.takes_new_work() && row.health.probing_since().is_none())
            .map(|row| row.health.share(settings, now));
        let greatest = shares.fold(0.0, f64::max);
        if greatest > 0.0 { greatest } else { 1.0 }
    }

    /// Load of the whole service.
    #[must_use]
    pub fn load(&self, settings: &RoutingSettings, now: Instant) -> ServiceLoad {
        let mut load = ServiceLoad::default();
        let open = self.groups.open.iter().flatten();
        for row in open.map(|index| &self.rows[*index]) {
            let limit = row.limit(&self.profile, settings);
            load.endpoints += 1;
            load.in_flight += row.outstanding.len();
            load.limit += limit;
            load.estimated += row.utilisation(&self.profile, settings, now) * limit;
            load.queued += row.load.map_or(0, |load| usize::from(load.queued()));
            let level = row.load.map_or(Some(Criticality::ALL[0]), |load| {
                load.admitted_from(settings.level_lifetime, now)
            });
            load.admit_from(level);
        }
        load
    }
}

/// Endpoints of `count` that may be ejected at once: the share, but one of two or three.
fn most_ejected(count: usize, settings: &RoutingSettings) -> usize {
    let share = (count as f64 * settings.ejected_share_limit).floor() as usize;
    if count < 2 { 0 } else { share.max(1) }
}
