//! Slots of the back end beside this node: which calls get one, which wait, and which are refused.
//!
//! A call gets a slot at once if one is free and no call waits. Otherwise it waits in a queue ordered by
//! criticality ([`tallybridge_limits::AdmissionQueue`]), or is refused at once if it is not expected to get
//! a slot in time, so that it can be retried at another node. At most `floor(slots x share)` slots are used
//! ([`super::slot_share`]). While the back end announces a rate limit, each call also needs a token of it
//! (`rate_limiter.rs`). Other nodes place calls and admit requests by the [`Load`].
//!
//! One mutex guards the state and is never held across an await.

mod rate_limiter;
mod service_time;
mod slot;
mod table;
mod waiting;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tallybridge_core::Criticality;
use tokio::time::Instant;

pub use self::slot::Slot;
use self::{
    slot::QueuedCall,
    table::{DEFAULT_SLOTS, SlotTable},
};
use crate::protocol::Load;

/// Why a call gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoSlot {
    /// No slot is free, or is expected to be, within the time that the call may wait.
    Full,
    /// The back end accepts no more work.
    Closed,
}

enum Acquisition {
    Acquired(Slot),
    Queued(QueuedCall),
}

/// Slots of a back end, and the calls that wait for one. Clones share the same slots.
#[derive(Debug, Clone, Default)]
pub struct BackendSlots(Arc<Mutex<SlotTable>>);

impl BackendSlots {
    /// Acquires a slot, waiting no longer than `wait_until`.
    ///
    /// # Errors
    ///
    /// [`NoSlot::Full`] if no slot is free in time or is expected to be, and [`NoSlot::Closed`] if the
    /// waiting calls are refused meanwhile.
    pub async fn acquire(
        &self,
        criticality: Criticality,
        wait_until: Instant,
    ) -> Result<Slot, NoSlot> {
        match self.acquire_or_enqueue(criticality, wait_until)? {
            Acquisition::Acquired(slot) => Ok(slot),
            Acquisition::Queued(call) => call.wait(wait_until).await,
        }
    }

    fn acquire_or_enqueue(
        &self,
        criticality: Criticality,
        wait_until: Instant,
    ) -> Result<Acquisition, NoSlot> {
        let now = Instant::now();
        let mut table = self.table();
        table.record_arrival(now);
        if table.try_take_slot() {
            let slot = Slot::new(self.clone(), now, table.occupancy());
            return Ok(Acquisition::Acquired(slot));
        }
        if now + table.expected_wait(criticality) >= wait_until {
            return Err(NoSlot::Full);
        }
        let entry = table.waiting.enqueue(criticality, wait_until, now)?;
        Ok(Acquisition::Queued(QueuedCall::new(self.clone(), entry)))
    }

    /// Grants the slots that an expired trial of another slot share or the rate limit frees. The node calls
    /// this once per tick of 100 ms.
    pub fn tick(&self) {
        self.table().tick(Instant::now());
    }

    /// Sets the rate limit that the back end announces, in calls per second; `None` if it announces none.
    pub fn set_rate_limit(&self, per_second: Option<f64>) {
        self.table().set_rate_limit(per_second, Instant::now());
    }

    /// Returns whether the back end announces a rate limit.
    #[must_use]
    pub fn is_rate_limited(&self) -> bool {
        self.table().is_rate_limited()
    }

    /// Returns whether the rate limit of the back end allows no call now.
    #[must_use]
    pub fn is_rate_exhausted(&self) -> bool {
        self.table().is_rate_exhausted()
    }

    /// Returns the number of calls that hold a slot.
    #[must_use]
    pub fn in_flight(&self) -> u16 {
        self.table().in_flight()
    }

    /// Resets the slot share. The node calls this when another incarnation replaces the back end.
    pub fn reset_share(&self) {
        self.table().reset_share();
    }

    /// Sets the number of requests that the back end processes at once; 0 if it is unknown.
    pub fn set_slots(&self, slots: u32) {
        let slots = if slots == 0 { DEFAULT_SLOTS } else { slots };
        self.table().set_slots(slots, Instant::now());
    }

    /// Refuses all waiting calls with [`NoSlot::Closed`].
    pub fn refuse_waiting(&self) {
        self.table().refuse_waiting();
    }

    /// Returns the load of the back end. [`Load::failing`] is 0; the caller fills it in.
    #[must_use]
    pub fn load(&self) -> Load {
        self.table().load(Instant::now())
    }

    /// Returns the time after which a refused call may find a slot: the mean time that a call holds one,
    /// or the time until the rate limit allows a call if that is longer.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.table().retry_after()
    }

    fn table(&self) -> MutexGuard<'_, SlotTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
