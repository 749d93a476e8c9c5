//! Suspicions: how long a member that has not answered may still refute.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use tallybridge_core::NodeId;

use crate::{
    member::{Health, MemberRecord},
    merge::Reporter,
    settings::MembershipSettings,
    table::MemberTable,
};

/// One suspected member.
#[derive(Debug)]
pub(crate) struct Suspicion {
    pub started: Instant,
    /// Confirmations that bring the time down to the shortest.
    wanted: usize,
    /// Nodes whose own probes failed.
    reporters: BTreeSet<Reporter>,
    /// Another node has declared the member dead.
    declared: bool,
    /// Most of the member's zone was suspected meanwhile. Stays, since the members of a zone that
    /// is back refute one after the other.
    held: bool,
}

impl Suspicion {
    /// A suspicion in a fleet of so many live members.
    pub(crate) fn new(started: Instant, settings: &MembershipSettings, live: usize) -> Self {
        const SUSPECT_AND_SELF: usize = 2;
        let others = live.saturating_sub(SUSPECT_AND_SELF);
        Self {
            started,
            wanted: settings.suspicion_confirmations.min(others),
            reporters: BTreeSet::new(),
            declared: false,
            held: false,
        }
    }

    /// Adds a reporter; true when it is new and still matters.
    pub(crate) fn confirm(&mut self, reporter: Reporter) -> bool {
        let matters = self.reporters.len() <= self.wanted;
        matters && self.reporters.insert(reporter)
    }

    /// Another node has waited long enough.
    pub(crate) const fn declare(&mut self) {
        self.declared = true;
    }

    /// Time from the start to death (Lifeguard, section IV): falls with the logarithm of the
    /// confirmations.
    pub(crate) fn timeout(&self, settings: &MembershipSettings) -> Duration {
        let timeout = self.unheld_timeout(settings);
        if self.held {
            timeout.mul_f64(settings.zone_hold_factor)
        } else {
            timeout
        }
    }

    fn unheld_timeout(&self, settings: &MembershipSettings) -> Duration {
        if self.wanted == 0 || self.declared {
            return settings.suspicion_min;
        }
        let confirmations = self.reporters.len().saturating_sub(1);
        let shrunk = (confirmations as f64 + 1.0).ln() / (self.wanted as f64 + 1.0).ln();
        let excess = settings.suspicion_max_factor - 1.0;
        let factor = 1.0 + excess * (1.0 - shrunk).max(0.0);
        settings.suspicion_min.mul_f64(factor)
    }
}

/// Declares members dead whose time to refute has passed.
pub(crate) fn expire(table: &mut MemberTable, now: Instant) {
    hold_zones(table);
    let expired: Vec<NodeId> = table
        .suspicions
        .iter()
        .filter(|(_, suspicion)| now >= suspicion.started + suspicion.timeout(&table.settings))
        .map(|(node, _)| *node)
        .collect();
    for node in expired {
        declare_dead(table, node, now);
    }
}

/// Holds the suspicions of each zone of which most is suspected.
fn hold_zones(table: &mut MemberTable) {
    for (node, suspicion) in &mut table.suspicions {
        let zone = &table.members[node].record.placement.zone;
        suspicion.held |= table.zones.is_mostly_suspected(zone);
    }
}

fn declare_dead(table: &mut MemberTable, node: NodeId, now: Instant) {
    let Some(row) = table.members.get(&node) else {
        return;
    };
    let dead = MemberRecord {
        health: Health::Dead,
        ..row.record.clone()
    };
    tracing::info!(member = %node, "member declared dead");
    table.replace(dead, now);
    table.queue.push(node, table.reporter());
}
