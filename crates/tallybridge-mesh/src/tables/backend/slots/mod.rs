//! Slots of the back end beside this node: which calls get one, which wait, and which are refused.
//!
//! **Rule.** A call runs at once if a slot is free and nobody waits. Otherwise it waits in a queue
//! that is ordered by criticality ([`tallybridge_limits::AdmissionQueue`]), until the caller's limit
//! for waiting; a call whose expected wait reaches that limit is refused at once, so that it can be
//! tried elsewhere. At most `floor(slots x share)` calls are with the back end ([`super::slot_share`]).
//!
//! **Inputs.** Slots of the back end, from its last report (a count); the share in use, 0 to 1; mean
//! time of a call, in seconds (`service_time.rs`); criticality and limit for waiting of the call.
//!
//! **Output.** A [`Slot`], held while the call runs, or [`NoSlot`]; and the [`Load`] that other nodes
//! place calls and admit requests by.
//!
//! **Why.** Back ends hang and spoil connections when all their slots are taken, and a queue in front of
//! one can serve urgent calls first, which the back end's own can't.
//!
//! One mutex guards the state; it is never held across an await.

mod held;
mod service_time;
mod table;
mod waiting;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tallybridge_core::Criticality;
use tokio::time::Instant;

pub use self::held::Slot;
use self::{
    held::QueuePlace,
    table::{FIRST_SLOTS, SlotTable},
};
use crate::protocol::Load;

/// Why a call gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoSlot {
    /// The back end is full for longer than the call may wait.
    Full,
    /// The back end takes no more work.
    Closed,
}

/// What a call gets when it arrives.
enum Arrival {
    Slot(Slot),
    Queued(QueuePlace),
}

/// The slots of a back end.
#[derive(Debug, Clone, Default)]
pub struct BackendSlots(Arc<Mutex<SlotTable>>);

impl BackendSlots {
    /// Gets a slot, waiting for it until `wait_until` at most.
    ///
    /// # Errors
    ///
    /// [`NoSlot`] when there is none in time, or is not expected to be.
    pub async fn slot(
        &self,
        criticality: Criticality,
        wait_until: Instant,
    ) -> Result<Slot, NoSlot> {
        match self.arrive(criticality, wait_until)? {
            Arrival::Slot(slot) => Ok(slot),
            Arrival::Queued(place) => place.wait(wait_until).await,
        }
    }

    fn arrive(&self, criticality: Criticality, wait_until: Instant) -> Result<Arrival, NoSlot> {
        let now = Instant::now();
        let mut table = self.table();
        table.count_arrival(now);
        if table.take_free_slot() {
            let slot = Slot::new(self.clone(), now, table.occupancy());
            return Ok(Arrival::Slot(slot));
        }
        if now + table.expected_wait(criticality) >= wait_until {
            return Err(NoSlot::Full);
        }
        let queued = table.waiting.enqueue(criticality, wait_until, now)?;
        Ok(Arrival::Queued(QueuePlace::new(self.clone(), queued)))
    }

    /// Ends a trial of another share of the slots that load no longer fills. Called once each tick of
    /// 100 ms.
    pub fn tick(&self) {
        self.table().end_stale_trial(Instant::now());
    }

    /// Drops what was learned of the share to use: another start of the back end has its place.
    pub fn forget_instance(&self) {
        self.table().forget_instance();
    }

    /// Takes in how many requests the back end works on at once; 0 means that this is unknown.
    pub fn set_slots(&self, slots: u32) {
        let slots = if slots == 0 { FIRST_SLOTS } else { slots };
        self.table().set_slots(slots, Instant::now());
    }

    /// Refuses every call that waits.
    pub fn refuse_waiting(&self) {
        self.table().refuse_waiting();
    }

    /// How busy the back end is. [`Load::failing`] is 0, as slots don't know how calls end.
    #[must_use]
    pub fn load(&self) -> Load {
        self.table().load(Instant::now())
    }

    /// Mean time that a call is with the back end; zero before the first one ended.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.table().service_time()
    }

    fn table(&self) -> MutexGuard<'_, SlotTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
