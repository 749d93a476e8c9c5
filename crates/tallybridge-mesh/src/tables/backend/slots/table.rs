//! State of the slots: the number in use, the waiting calls, and the measured times.

use std::time::Duration;

use tallybridge_core::Criticality;
use tokio::time::Instant;

use super::{
    service_time::{ServiceTime, update_mean},
    waiting::WaitingCalls,
};
use crate::{
    protocol::Load,
    tables::backend::{offered_load::OfferedLoad, slot_share::SlotShare},
};

/// Number of slots that is assumed until a back end of the service reports its own.
pub(super) const DEFAULT_SLOTS: u32 = 16;
/// Weight of the newest call in the mean wait.
const NEWEST_WAIT_WEIGHT: f64 = 0.1;

#[derive(Debug)]
pub(super) struct SlotTable {
    slots: u32,
    share: SlotShare,
    /// Number of slots that may be in use: `floor(slots x share)`, at least 1.
    limit: u16,
    in_flight: u16,
    pub(super) waiting: WaitingCalls,
    service_time: ServiceTime,
    mean_wait_seconds: f64,
    offered: OfferedLoad,
}

impl Default for SlotTable {
    fn default() -> Self {
        let share = SlotShare::default();
        Self {
            slots: DEFAULT_SLOTS,
            limit: slot_limit(DEFAULT_SLOTS, share.share()),
            share,
            in_flight: 0,
            waiting: WaitingCalls::new(DEFAULT_SLOTS),
            service_time: ServiceTime::default(),
            mean_wait_seconds: 0.0,
            offered: OfferedLoad::default(),
        }
    }
}

fn slot_limit(slots: u32, share: f64) -> u16 {
    let limit = (f64::from(slots) * share).floor() as u16;
    limit.max(1)
}

impl SlotTable {
    /// Records the arrival of a call, including one that is refused later.
    pub(super) fn record_arrival(&mut self, now: Instant) {
        self.offered.record_arrival(now);
    }

    /// Takes a slot if one is free and no call waits. Returns whether it took one.
    pub(super) fn try_take_slot(&mut self) -> bool {
        let is_free = self.in_flight < self.limit && self.waiting.is_empty();
        if is_free {
            self.in_flight += 1;
            update_mean(
                &mut self.mean_wait_seconds,
                Duration::ZERO,
                NEWEST_WAIT_WEIGHT,
            );
        }
        is_free
    }

    /// Returns the time until a call would get a slot: the number of calls ahead of it times the mean
    /// service time, divided by the slot limit.
    pub(super) fn expected_wait(&self, criticality: Criticality) -> Duration {
        let calls_ahead = self.waiting.count_ahead_of(criticality);
        let seconds_per_call = self.service_time.seconds() / f64::from(self.limit.max(1));
        Duration::from_secs_f64(calls_ahead as f64 * seconds_per_call)
    }

    /// Releases a slot that a call held for `hold_time`.
    pub(super) fn release(&mut self, hold_time: Duration, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.service_time.record(hold_time, now);
        self.offered.record_end(hold_time, now);
    }

    /// Refuses the calls that have waited too long, and grants free slots to the others, the most critical
    /// first.
    pub(super) fn grant_free_slots(&mut self, now: Instant) {
        self.waiting.refuse_expired(now);
        while self.in_flight < self.limit {
            let Some(next) = self.waiting.take_next(now) else {
                return;
            };
            update_mean(&mut self.mean_wait_seconds, next.waited, NEWEST_WAIT_WEIGHT);
            if next.sender.send(Ok(())).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    /// Refuses all waiting calls because the back end accepts no more work.
    pub(super) fn refuse_waiting(&mut self) {
        self.waiting.refuse_all(self.limit.into());
    }

    /// Sets the number of slots of the back end, which must be above 0.
    pub(super) fn set_slots(&mut self, slots: u32, now: Instant) {
        if self.slots == slots {
            return;
        }
        self.slots = slots;
        self.update_limit();
        self.waiting.resize(slots);
        self.grant_free_slots(now);
    }

    /// Adapts the slot share to a call that succeeded without nested calls. `occupancy` is the share of
    /// the slots in use when the call started.
    pub(super) fn adapt_share(
        &mut self,
        kind: u16,
        hold_time: Duration,
        occupancy: f64,
        now: Instant,
    ) {
        let before = self.share.baseline();
        let in_flight = self.in_flight.into();
        let may_have_changed =
            self.share
                .record_call(kind, hold_time, occupancy, in_flight, now.into_std());
        if !may_have_changed {
            return;
        }
        self.update_limit();
        let share = self.share.baseline();
        if share != before {
            tracing::info!(
                share,
                before,
                slots = self.slots,
                "share of slots in use changed"
            );
        }
    }

    /// Ends an expired trial of another slot share, and grants the slots that become free.
    pub(super) fn end_expired_trial(&mut self, now: Instant) {
        if self.share.end_expired_trial(now.into_std()) {
            self.update_limit();
            self.grant_free_slots(now);
        }
    }

    pub(super) fn reset_share(&mut self) {
        self.share = SlotShare::default();
        self.update_limit();
    }

    fn update_limit(&mut self) {
        self.limit = slot_limit(self.slots, self.share.share());
    }

    /// Returns the share of the slots in use, 0 to 1.
    pub(super) fn occupancy(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots)
    }

    /// Returns the load that is reported to other nodes. Mean times are truncated to milliseconds.
    pub(super) fn load(&self, now: Instant) -> Load {
        let offered = self.offered.slots(now) / f64::from(self.limit.max(1));
        Load {
            limit: self.limit,
            in_flight: self.in_flight,
            queued: u16::try_from(self.waiting.len()).unwrap_or(u16::MAX),
            wait_ms: (self.mean_wait_seconds * 1000.0) as u16,
            service_ms: (self.service_time.decayed_seconds(now) * 1000.0) as u16,
            failing: 0,
            offered: (offered * 100.0) as u16,
        }
    }

    /// Returns the mean time that a call holds a slot, without decay since the last call ended.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time.seconds().max(0.0))
    }
}
