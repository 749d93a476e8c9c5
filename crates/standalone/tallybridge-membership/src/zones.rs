//! How many members of each zone are suspected.

use std::collections::BTreeMap;

use tallybridge_core::ZoneName;

use crate::member::{Health, MemberRecord};

/// Fewest suspected members that count as a zone in trouble.
const FEWEST_SUSPECTED: usize = 3;

#[derive(Debug, Default)]
struct ZoneCount {
    live: usize,
    suspected: usize,
}

/// A row for each zone.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    counts: BTreeMap<ZoneName, ZoneCount>,
}

impl Zones {
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

    /// Whether most of a zone is suspected at once: then the link to it, perhaps this node's own,
    /// is more likely at fault than each of its members.
    pub(crate) fn is_mostly_suspected(&self, zone: &ZoneName) -> bool {
        self.counts.get(zone).is_some_and(|count| {
            count.suspected >= FEWEST_SUSPECTED && count.suspected * 2 > count.live
        })
    }
}
