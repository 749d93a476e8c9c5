//! Guards of a slot and of a call that waits for one.

use std::time::Duration;

use tallybridge_limits::Ticket;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::{
    BackendSlots, NoSlot,
    waiting::{GrantResult, QueueEntry},
};

/// Guard of a slot in use. Dropping it releases the slot.
#[derive(Debug)]
pub struct Slot {
    slots: BackendSlots,
    acquired_at: Instant,
    /// Share of the slots in use when this one was acquired, including this one.
    occupancy: f64,
    /// Kind of the call if its time may adapt the slot share.
    sample_kind: Option<u16>,
}

impl Slot {
    pub(super) const fn new(slots: BackendSlots, acquired_at: Instant, occupancy: f64) -> Self {
        Self {
            slots,
            acquired_at,
            occupancy,
            sample_kind: None,
        }
    }

    /// Returns the time since the slot was acquired.
    #[must_use]
    pub fn held_for(&self) -> Duration {
        self.acquired_at.elapsed()
    }

    /// Marks the call as one that succeeded without nested calls, so that its time adapts the slot share.
    /// `kind` groups calls that take about the same time.
    pub const fn record_success(&mut self, kind: u16) {
        self.sample_kind = Some(kind);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        let hold_time = now.saturating_duration_since(self.acquired_at);
        let mut table = self.slots.table();
        table.release(hold_time, now);
        if let Some(kind) = self.sample_kind {
            table.adapt_share(kind, hold_time, self.occupancy, now);
        }
        table.grant_free_slots(now);
    }
}

/// Guard of a call that waits for a slot. Dropping it removes the call from the queue, or releases a slot
/// that was granted and not taken.
pub(super) struct QueuedCall {
    slots: BackendSlots,
    ticket: Ticket,
    call_number: u64,
    receiver: oneshot::Receiver<GrantResult>,
    has_received: bool,
}

impl QueuedCall {
    pub(super) fn new(slots: BackendSlots, entry: QueueEntry) -> Self {
        Self {
            slots,
            ticket: entry.ticket,
            call_number: entry.call_number,
            receiver: entry.receiver,
            has_received: false,
        }
    }

    pub(super) async fn wait(mut self, wait_until: Instant) -> Result<Slot, NoSlot> {
        let received = timeout_at(wait_until, &mut self.receiver).await;
        let Ok(Ok(granted)) = received else {
            return Err(NoSlot::Full);
        };
        self.has_received = true;
        granted?;
        let occupancy = self.slots.table().occupancy();
        Ok(Slot::new(self.slots.clone(), Instant::now(), occupancy))
    }

    /// Releases a slot that was granted after the call stopped waiting.
    fn release_unused(&mut self) {
        self.receiver.close();
        if let Ok(Ok(())) = self.receiver.try_recv() {
            drop(Slot::new(self.slots.clone(), Instant::now(), 0.0));
        }
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        if !self.has_received {
            self.release_unused();
        }
        self.slots
            .table()
            .waiting
            .remove(self.call_number, self.ticket);
    }
}
