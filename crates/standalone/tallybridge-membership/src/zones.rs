//! Counts of live and suspected members per zone.

use std::collections::BTreeMap;

use tallybridge_core::ZoneName;

use crate::member::{Health, MemberRecord};

/// Minimum number of suspected members for a zone to count as mostly suspected.
const MIN_SUSPECTED_MEMBERS: usize = 3;

#[derive(Debug, Default)]
struct ZoneCount {
    live: usize,
    suspected: usize,
}

#[derive(Debug, Default)]
pub(crate) struct ZoneCounts {
    counts: BTreeMap<ZoneName, ZoneCount>,
}

impl ZoneCounts {
    pub(crate) fn add(&mut self, record: &MemberRecord) {
        let zone = record.placement.zone.clone();
        let count = self.counts.entry(zone).or_default();
        count.live += usize::from(record.health.is_live());
        count.suspected += usize::from(record.health == Health::Suspect);
    }

    pub(crate) fn remove(&mut self, record: &MemberRecord) {
        if let Some(count) = self.counts.get_mut(&record.placement.zone) {
            count.live -= usize::from(record.health.is_live());
            count.suspected -= usize::from(record.health == Health::Suspect);
        }
    }

    /// Returns whether most of a zone is suspected at once. A failure of the zone's link or of this
    /// node's own link is then more likely than a failure of each member.
    pub(crate) fn is_mostly_suspected(&self, zone: &ZoneName) -> bool {
        self.counts.get(zone).is_some_and(|count| {
            count.suspected >= MIN_SUSPECTED_MEMBERS && count.suspected * 2 > count.live
        })
    }
}
