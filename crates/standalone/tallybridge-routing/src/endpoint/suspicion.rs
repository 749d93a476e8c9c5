//! Detection of stalled endpoints, before any of their attempts times out.

use std::time::Instant;

use super::row::EndpointRow;
use crate::{RoutingSettings, table::profile::ServiceProfile};

impl EndpointRow {
    /// Counts the overdue attempts in flight that started since the latest ejection or start of
    /// probing.
    #[must_use]
    pub fn overdue(
        &self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) -> usize {
        let Some(limit) = profile.overdue_after(settings) else {
            return 0;
        };
        now.checked_sub(limit).map_or(0, |before| {
            self.outstanding
                .count_between(self.health.assessed_since(), before)
        })
    }

    /// Returns whether the endpoint should be ejected, for consecutive failures or overdue
    /// attempts.
    #[must_use]
    pub fn is_suspect(
        &self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) -> bool {
        if self.health.is_ejected() {
            return false;
        }
        self.health.has_reached_failure_limit(settings) || self.is_stalled(profile, settings, now)
    }

    /// Returns whether the endpoint leaves attempts unanswered. That is the case if an attempt is
    /// overdue and none that started later was answered, or if most attempts in flight are overdue
    /// and several more soon will be.
    fn is_stalled(
        &self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) -> bool {
        let overdue = self.overdue(profile, settings, now);
        if overdue == 0 {
            return false;
        }
        let since = self.health.assessed_since();
        let is_unresponsive = self.latest_answered_start < self.outstanding.oldest_since(since);
        let min_overdue = if self.health.is_recovering() {
            1
        } else {
            settings.overdue_count
        };
        let is_mostly_overdue =
            overdue >= min_overdue && 2 * overdue >= self.outstanding.count_since(since);
        is_unresponsive
            || (is_mostly_overdue && self.nearly_overdue(profile, settings, now) >= min_overdue)
    }

    /// Counts the attempts that have reached half of the overdue time but not all of it. A
    /// recovered endpoint has none, even if older attempts are still overdue.
    fn nearly_overdue(
        &self,
        profile: &ServiceProfile,
        settings: &RoutingSettings,
        now: Instant,
    ) -> usize {
        let Some(limit) = profile.overdue_after(settings) else {
            return 0;
        };
        let overdue_before = now.checked_sub(limit);
        let nearly_overdue_before = now.checked_sub(limit / 2);
        nearly_overdue_before.map_or(0, |before| {
            let since = overdue_before.max(self.health.assessed_since());
            self.outstanding.count_between(since, before)
        })
    }
}
