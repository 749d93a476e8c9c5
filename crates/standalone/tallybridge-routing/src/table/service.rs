//! Endpoints of one service: the choice among them, and their ejection.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use tallybridge_core::{Criticality, NodeId};

use super::{
    ServiceLoad,
    choice::{Choice, Groups},
    profile::ServiceProfile,
};
use crate::{AttemptResult, NoEndpoint, RoutingSettings, endpoint::row::EndpointRow};

/// Rows of one service, sorted by node.
#[derive(Debug, Clone, Default)]
pub struct ServiceRows {
    rows: Vec<EndpointRow>,
    groups: Groups,
    profile: ServiceProfile,
    last_refresh: Option<Instant>,
}

impl ServiceRows {
    /// Returns all rows, including those of endpoints that are no longer members.
    #[must_use]
    pub fn rows(&self) -> &[EndpointRow] {
        &self.rows
    }

    /// Returns the typical values as of the latest refresh.
    #[must_use]
    pub fn profile(&self) -> &ServiceProfile {
        &self.profile
    }

    /// Returns whether the service has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the row of a node, or `None` if the service has none.
    pub fn row_mut(&mut self, node: NodeId) -> Option<&mut EndpointRow> {
        let index = self.index_of(node).ok()?;
        self.rows.get_mut(index)
    }

    /// Inserts a row unless its node already has one.
    pub fn insert(&mut self, row: EndpointRow) {
        if let Err(index) = self.index_of(row.endpoint.node) {
            self.rows.insert(index, row);
        }
    }

    /// Marks every row as not a member. The caller then marks the current members.
    pub fn clear_membership(&mut self) {
        for row in &mut self.rows {
            row.is_member = false;
        }
    }

    /// Removes the rows of former members without attempts in flight, and calls `on_removed` with
    /// each node.
    pub fn remove_unused(&mut self, mut on_removed: impl FnMut(NodeId)) {
        self.rows.retain(|row| {
            let is_removable = row.is_removable();
            if is_removable {
                on_removed(row.endpoint.node);
            }
            !is_removable
        });
    }

    fn index_of(&self, node: NodeId) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&node, |row| row.endpoint.node)
    }

    /// Chooses an endpoint and counts an attempt in flight there.
    ///
    /// # Errors
    ///
    /// Returns [`NoEndpoint`] when no endpoint of the service can take the call.
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
            return Err(self.no_endpoint_reason());
        };
        let row = &mut self.rows[chosen];
        row.outstanding.start(now);
        Ok(row.endpoint.node)
    }

    fn no_endpoint_reason(&self) -> NoEndpoint {
        if !self.rows.iter().any(|row| row.is_member) {
            NoEndpoint::UnknownService
        } else if self.rows.iter().any(EndpointRow::takes_new_work) {
            NoEndpoint::AllExcluded
        } else {
            NoEndpoint::AllLeaving
        }
    }

    /// Records the result of an attempt and returns whether the row can be removed.
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
        let took_new_work = row.takes_new_work();
        row.finish(result, &self.profile, settings, now);
        let is_removable = row.is_removable();
        let has_reached_failure_limit = row.health.has_reached_failure_limit(settings);
        let is_first_latency = self.profile.typical_latency.is_none() && row.has_settled_latency();
        if took_new_work != row.takes_new_work() || has_reached_failure_limit || is_first_latency {
            self.refresh(settings, now);
        }
        is_removable
    }

    /// Updates the health of each row, the ejections, the groups and the profile.
    pub fn refresh(&mut self, settings: &RoutingSettings, now: Instant) {
        for row in &mut self.rows {
            row.advance(now);
        }
        self.refresh_ejections(settings, now);
        self.regroup();
        let max_ramp_share = self.max_ramp_share(settings, now);
        let elapsed = self.last_refresh.map_or(Duration::ZERO, |last_refresh| {
            now.saturating_duration_since(last_refresh)
        });
        self.last_refresh = Some(now);
        self.profile =
            ServiceProfile::from_rows(&self.rows, &self.profile, max_ramp_share, elapsed);
    }

    /// Ejects the suspect endpoints, unless too many would then be ejected. In that case the
    /// service as a whole is probably at fault, and ejections would overload the remaining
    /// endpoints. All ejected and suspect endpoints are then probed instead, as with Envoy's panic
    /// threshold.
    fn refresh_ejections(&mut self, settings: &RoutingSettings, now: Instant) {
        let profile = self.profile;
        let is_ejected_or_suspect =
            |row: &EndpointRow| row.health.is_ejected() || row.is_suspect(&profile, settings, now);
        let eligible = || self.rows.iter().filter(|row| row.takes_new_work());
        let failing = eligible().filter(|row| is_ejected_or_suspect(row)).count();
        let is_panic = failing > max_ejected(eligible().count(), settings);
        let eligible = self.rows.iter_mut().filter(|row| row.takes_new_work());
        for row in eligible.filter(|row| is_ejected_or_suspect(row)) {
            if is_panic {
                row.health.start_probing(now);
            } else if !row.health.is_ejected() {
                row.health.eject(settings, now);
            }
        }
    }

    fn regroup(&mut self) {
        let groups = &mut self.groups;
        groups.by_proximity.iter_mut().for_each(Vec::clear);
        groups.ejected.clear();
        for (index, row) in self.rows.iter().enumerate() {
            if !row.takes_new_work() {
                continue;
            }
            if row.health.is_ejected() {
                groups.ejected.push(index);
            } else {
                groups.by_proximity[row.proximity as usize].push(index);
            }
        }
    }

    fn max_ramp_share(&self, settings: &RoutingSettings, now: Instant) -> f64 {
        let shares = self
            .rows
            .iter()
            .filter(|row| row.takes_new_work() && row.health.probing_since().is_none())
            .map(|row| row.health.traffic_share(settings, now));
        let max_share = shares.fold(0.0, f64::max);
        if max_share > 0.0 { max_share } else { 1.0 }
    }

    /// Returns the total load of the endpoints that take new work and are not ejected.
    #[must_use]
    pub fn load(&self, settings: &RoutingSettings, now: Instant) -> ServiceLoad {
        let mut load = ServiceLoad::default();
        let available = self.groups.by_proximity.iter().flatten();
        for row in available.map(|index| &self.rows[*index]) {
            let limit = row.limit(&self.profile, settings);
            load.endpoints += 1;
            load.in_flight += row.outstanding.len();
            load.limit += limit;
            load.estimated += row.utilisation(&self.profile, settings, now) * limit;
            load.queued += row.load.map_or(0, |load| usize::from(load.queued()));
            let level = row.load.map_or(Some(Criticality::ALL[0]), |load| {
                load.admitted_from(settings.level_lifetime, now)
            });
            load.include_level(level);
        }
        load
    }
}

/// Returns how many of `count` endpoints may be ejected at once. With two or three endpoints, one
/// may always be ejected. A single endpoint never is.
fn max_ejected(count: usize, settings: &RoutingSettings) -> usize {
    let max_count = (count as f64 * settings.ejected_share_limit).floor() as usize;
    if count < 2 { 0 } else { max_count.max(1) }
}
