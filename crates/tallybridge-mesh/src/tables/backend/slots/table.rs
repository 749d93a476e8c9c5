//! State of the slots: the number in use, the waiting calls, and the measured times.

use std::time::Duration;

use tallybridge_core::Criticality;
use tokio::time::Instant;

use super::{
    rate_limiter::RateLimiter,
    service_time::{ServiceTime, update_mean},
    waiting::WaitingCalls,
};
use crate::{
    clock::BootInstant,
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
    /// `None` while the back end announces no rate limit.
    rate_limiter: Option<RateLimiter>,
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
            rate_limiter: None,
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

    /// Takes a slot if one is free, no call waits and the rate limit allows a call. Returns whether it
    /// took one.
    pub(super) fn try_take_slot(&mut self) -> bool {
        let is_free =
            self.in_flight < self.limit && self.waiting.is_empty() && self.take_rate_token();
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
    /// service time, divided by the slot limit, or the time until the rate limit allows the call if that
    /// is longer.
    pub(super) fn expected_wait(&self, criticality: Criticality) -> Duration {
        let calls_ahead = self.waiting.count_ahead_of(criticality);
        let seconds_per_call = self.service_time.seconds() / f64::from(self.limit.max(1));
        let until_slot = Duration::from_secs_f64(calls_ahead as f64 * seconds_per_call);
        until_slot.max(self.time_until_allowed(calls_ahead + 1))
    }

    /// Returns the time until the rate limit allows `calls` further calls.
    fn time_until_allowed(&self, calls: usize) -> Duration {
        let limiter = self.rate_limiter.as_ref();
        limiter.map_or(Duration::ZERO, |limiter| {
            limiter.time_until(calls, BootInstant::now())
        })
    }

    fn take_rate_token(&mut self) -> bool {
        let limiter = self.rate_limiter.as_mut();
        limiter.is_none_or(|limiter| limiter.take(BootInstant::now()))
    }

    /// Returns whether the rate limit of the back end allows no call now.
    pub(super) fn is_rate_exhausted(&self) -> bool {
        let limiter = self.rate_limiter.as_ref();
        limiter.is_some_and(|limiter| limiter.is_exhausted(BootInstant::now()))
    }

    pub(super) const fn is_rate_limited(&self) -> bool {
        self.rate_limiter.is_some()
    }

    /// Sets the rate limit that the back end announces, in calls per second; `None` if it announces none.
    pub(super) fn set_rate_limit(&mut self, per_second: Option<f64>, now: Instant) {
        let since = BootInstant::now();
        match (&mut self.rate_limiter, per_second) {
            (Some(limiter), Some(per_second)) => limiter.set_rate(per_second, since),
            (_, per_second) => {
                self.rate_limiter = per_second.map(|rate| RateLimiter::new(rate, since));
            }
        }
        self.grant_free_slots(now);
    }

    /// Returns the time after which a refused call may find a slot.
    pub(super) fn retry_after(&self) -> Duration {
        let service_time = Duration::from_secs_f64(self.service_time.seconds().max(0.0));
        service_time.max(self.time_until_allowed(self.waiting.len() + 1))
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
        while self.in_flight < self.limit && !self.is_rate_exhausted() {
            let Some(next) = self.waiting.take_next(now) else {
                return;
            };
            update_mean(&mut self.mean_wait_seconds, next.waited, NEWEST_WAIT_WEIGHT);
            if next.sender.send(Ok(())).is_ok() {
                self.in_flight += 1;
                self.take_rate_token();
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
    /// the slots in use when the call started. Does nothing under a rate limit, because the times of
    /// calls then do not depend on the number of slots in use.
    pub(super) fn adapt_share(
        &mut self,
        kind: u16,
        hold_time: Duration,
        occupancy: f64,
        now: Instant,
    ) {
        if self.is_rate_limited() {
            return;
        }
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

    /// Ends an expired trial of another slot share, and grants the slots that it or the rate limit frees.
    pub(super) fn tick(&mut self, now: Instant) {
        let has_ended_trial = self.share.end_expired_trial(now.into_std());
        if has_ended_trial {
            self.update_limit();
        }
        if has_ended_trial || self.is_rate_limited() {
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

    pub(super) const fn in_flight(&self) -> u16 {
        self.in_flight
    }

    /// Returns the load that is reported to other nodes. Mean times are truncated to milliseconds. Under
    /// a rate limit the back end has as many slots as calls at that rate hold, and counts as full while
    /// no call is allowed.
    pub(super) fn load(&self, now: Instant) -> Load {
        let mut limit = self.limit;
        let mut in_flight = self.in_flight;
        let offered = if let Some(limiter) = &self.rate_limiter {
            limit = limit.min(limiter.slots_in_use(self.service_time.seconds()));
            if self.is_rate_exhausted() {
                in_flight = in_flight.max(limit);
            }
            limiter.offered(self.offered.arrivals_per_second(now))
        } else {
            Load::offered_to_wire(self.offered.slots(now) / f64::from(self.limit.max(1)))
        };
        Load {
            limit,
            in_flight,
            queued: u16::try_from(self.waiting.len()).unwrap_or(u16::MAX),
            wait_ms: (self.mean_wait_seconds * 1000.0) as u16,
            service_ms: (self.service_time.decayed_seconds(now) * 1000.0) as u16,
            failing: 0,
            offered,
        }
    }
}
