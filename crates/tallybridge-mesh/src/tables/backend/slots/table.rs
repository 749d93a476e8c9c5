//! State of the slots: how many are taken, which calls wait, and what is measured of them.

use std::time::Duration;

use tallybridge_core::Criticality;
use tokio::time::Instant;

use super::{
    service_time::{ServiceTime, move_towards},
    waiting::WaitingCalls,
};
use crate::{
    protocol::Load,
    tables::backend::{offered_load::OfferedLoad, slot_share::SlotShare},
};

/// Slots that a back end is taken to have while neither it nor another of its service has reported
/// any. Origin of the figure not recorded.
pub(super) const FIRST_SLOTS: u32 = 16;
/// Weight of the newest call in the mean time that calls wait. Origin not recorded.
const WAIT_GAIN: f64 = 0.1;

#[derive(Debug)]
pub(super) struct SlotTable {
    slots: u32,
    share: SlotShare,
    /// Slots that are used: `floor(slots x share)`, at least 1.
    limit: u16,
    in_flight: u16,
    pub(super) waiting: WaitingCalls,
    service_time: ServiceTime,
    wait_seconds: f64,
    offered: OfferedLoad,
}

impl Default for SlotTable {
    fn default() -> Self {
        let share = SlotShare::default();
        Self {
            slots: FIRST_SLOTS,
            limit: usable(FIRST_SLOTS, share.share()),
            share,
            in_flight: 0,
            waiting: WaitingCalls::new(FIRST_SLOTS),
            service_time: ServiceTime::default(),
            wait_seconds: 0.0,
            offered: OfferedLoad::default(),
        }
    }
}

/// Slots that are used of some at a share, 0 to 1.
fn usable(slots: u32, share: f64) -> u16 {
    let used = (f64::from(slots) * share).floor() as u16;
    used.max(1)
}

impl SlotTable {
    /// A call arrived, whatever becomes of it.
    pub(super) fn count_arrival(&mut self, now: Instant) {
        self.offered.arrived(now);
    }

    /// Takes a slot if one is free and nobody waits for it.
    pub(super) fn take_free_slot(&mut self) -> bool {
        let is_free = self.in_flight < self.limit && self.waiting.is_empty();
        if is_free {
            self.in_flight += 1;
            move_towards(&mut self.wait_seconds, Duration::ZERO, WAIT_GAIN);
        }
        is_free
    }

    /// Time until a call of a class would get a slot: those that go before it, each for the mean time
    /// of a call, over the slots in use.
    pub(super) fn expected_wait(&self, criticality: Criticality) -> Duration {
        let ahead = self.waiting.ahead_of(criticality);
        let per_call = self.service_time.seconds() / f64::from(self.limit.max(1));
        Duration::from_secs_f64(ahead as f64 * per_call)
    }

    /// A call ended that held a slot for some time.
    pub(super) fn give_back(&mut self, took: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.service_time.ended(took, now);
        self.offered.ended(took, now);
    }

    /// Grants free slots to those that wait, the most critical first, and refuses those that waited
    /// too long.
    pub(super) fn grant(&mut self, now: Instant) {
        self.waiting.refuse_late(now);
        while self.in_flight < self.limit {
            let Some(next) = self.waiting.take_next(now) else {
                return;
            };
            move_towards(&mut self.wait_seconds, next.waited, WAIT_GAIN);
            if next.grant.send(Ok(())).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    /// Refuses every call that waits, as the back end takes no more work.
    pub(super) fn refuse_waiting(&mut self) {
        self.waiting.refuse_all(self.limit.into());
    }

    /// Takes in the slots that the back end has, above 0.
    pub(super) fn set_slots(&mut self, slots: u32, now: Instant) {
        if self.slots == slots {
            return;
        }
        self.slots = slots;
        self.adopt_share();
        self.waiting.resize(slots);
        self.grant(now);
    }

    /// Adapts the share of the slots that is used to the time of a call of a kind, which ran while the
    /// share `occupancy` of the slots was taken.
    pub(super) fn adapt_share(&mut self, kind: u16, took: Duration, occupancy: f64, now: Instant) {
        let before = self.share.kept();
        let in_flight = self.in_flight.into();
        let may_have_changed = self
            .share
            .ended(kind, took, occupancy, in_flight, now.into_std());
        if !may_have_changed {
            return;
        }
        self.adopt_share();
        let share = self.share.kept();
        if share != before {
            tracing::info!(
                share,
                before,
                slots = self.slots,
                "share of slots in use changed"
            );
        }
    }

    /// Ends a trial of another share that load no longer fills.
    pub(super) fn end_stale_trial(&mut self, now: Instant) {
        if self.share.end_stale_trial(now.into_std()) {
            self.adopt_share();
            self.grant(now);
        }
    }

    /// Drops what was learned of the share to use.
    pub(super) fn forget_instance(&mut self) {
        self.share = SlotShare::default();
        self.adopt_share();
    }

    fn adopt_share(&mut self) {
        self.limit = usable(self.slots, self.share.share());
    }

    /// Share of the slots that is taken, 0 to 1.
    pub(super) fn occupancy(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots)
    }

    /// What other nodes learn of the load; means in whole milliseconds.
    pub(super) fn load(&self, now: Instant) -> Load {
        let offered = self.offered.slots(now) / f64::from(self.limit.max(1));
        Load {
            limit: self.limit,
            in_flight: self.in_flight,
            queued: u16::try_from(self.waiting.len()).unwrap_or(u16::MAX),
            wait_ms: (self.wait_seconds * 1000.0) as u16,
            service_ms: (self.service_time.faded_seconds(now) * 1000.0) as u16,
            failing: 0,
            offered: (offered * 100.0) as u16,
        }
    }

    /// Mean time of a call when the last one ended.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.seconds().max(0.0))
    }
}
