//! Suspicions: the time that a suspected member has to refute before it is declared dead.

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

#[derive(Debug)]
pub(crate) struct Suspicion {
    pub started: Instant,
    /// Number of confirmations that reduce the timeout to its minimum.
    confirmations_needed: usize,
    /// Nodes whose own probes of the member failed.
    reporters: BTreeSet<Reporter>,
    /// Whether another node has declared the member dead.
    declared_dead: bool,
    /// Whether most of the member's zone was suspected at some point. The flag is never cleared,
    /// because the members of a recovered zone refute one after the other.
    zone_suspected: bool,
}

impl Suspicion {
    pub(crate) fn new(started: Instant, settings: &MembershipSettings, live: usize) -> Self {
        const SUSPECT_AND_SELF: usize = 2;
        let others = live.saturating_sub(SUSPECT_AND_SELF);
        Self {
            started,
            confirmations_needed: settings.suspicion_confirmations.min(others),
            reporters: BTreeSet::new(),
            declared_dead: false,
            zone_suspected: false,
        }
    }

    /// Adds a reporter; returns true if the reporter is new and more confirmations are needed.
    pub(crate) fn confirm(&mut self, reporter: Reporter) -> bool {
        let is_needed = self.reporters.len() <= self.confirmations_needed;
        is_needed && self.reporters.insert(reporter)
    }

    /// Records that another node has declared the member dead, which shortens the timeout.
    pub(crate) const fn mark_declared_dead(&mut self) {
        self.declared_dead = true;
    }

    /// Returns the time from the start of the suspicion to death. The time falls with the logarithm
    /// of the confirmations (Lifeguard, section IV).
    pub(crate) fn timeout(&self, settings: &MembershipSettings) -> Duration {
        let timeout = self.base_timeout(settings);
        if self.zone_suspected {
            timeout.mul_f64(settings.zone_suspicion_factor)
        } else {
            timeout
        }
    }

    fn base_timeout(&self, settings: &MembershipSettings) -> Duration {
        if self.confirmations_needed == 0 || self.declared_dead {
            return settings.suspicion_min;
        }
        let confirmations = self.reporters.len().saturating_sub(1);
        let reduction =
            (confirmations as f64 + 1.0).ln() / (self.confirmations_needed as f64 + 1.0).ln();
        let excess = settings.suspicion_max_factor - 1.0;
        let factor = 1.0 + excess * (1.0 - reduction).max(0.0);
        settings.suspicion_min.mul_f64(factor)
    }
}

/// Declares each member dead whose suspicion has timed out.
pub(crate) fn expire(table: &mut MemberTable, now: Instant) {
    mark_zone_suspicions(table);
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

/// Marks the suspicions in zones that are mostly suspected, which extends their timeout.
fn mark_zone_suspicions(table: &mut MemberTable) {
    for (node, suspicion) in &mut table.suspicions {
        let zone = &table.members[node].record.placement.zone;
        suspicion.zone_suspected |= table.zones.is_mostly_suspected(zone);
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
    tracing::info!(
        member = %node,
        "member did not refute its suspicion in time; declaring it dead"
    );
    table.replace(dead, now);
    table.queue.push(node, table.reporter());
}
