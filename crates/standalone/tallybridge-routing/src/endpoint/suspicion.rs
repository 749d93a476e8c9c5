//! Whether an endpoint leaves attempts unanswered, seen before any of them fails.

use std::time::Instant;

use super::row::EndpointRow;
use crate::{RoutingSettings, table::profile::ServiceProfile};

impl EndpointRow {
    /// Attempts since the last ejection that are in flight for longer than is usual.
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
                .count_between(self.health.judged_from(), before)
        })
    }

    /// Whether what was observed asks for an ejection.
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
        self.health.has_failed_out(settings) || self.is_stalled(profile, settings, now)
    }

    /// Whether attempts go unanswered: one is overdue and none that began after it was answered, or
    /// most of those in flight are overdue and more are about to be.
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
        let since = self.health.judged_from();
        let is_silent = self.answered_start < self.outstanding.oldest_from(since);
        let enough = if self.health.is_recovering() {
            1
        } else {
            settings.overdue_count
        };
        let is_mostly_overdue =
            overdue >= enough && 2 * overdue >= self.outstanding.count_from(since);
        is_silent || (is_mostly_overdue && self.late(profile, settings, now) >= enough)
    }

    /// Attempts that are over halfway to being overdue. An endpoint that is well again has none, even
    /// while overdue ones from before are left.
    fn late(&self, profile: &ServiceProfile, settings: &RoutingSettings, now: Instant) -> usize {
        let Some(limit) = profile.overdue_after(settings) else {
            return 0;
        };
        let overdue_before = now.checked_sub(limit);
        let late_before = now.checked_sub(limit / 2);
        late_before.map_or(0, |before| {
            let from = overdue_before.max(self.health.judged_from());
            self.outstanding.count_between(from, before)
        })
    }
}
