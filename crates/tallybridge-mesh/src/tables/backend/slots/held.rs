//! A slot that a call holds, and the place of a call that waits for one.

use std::time::Duration;

use tallybridge_limits::Ticket;
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use super::{
    BackendSlots, NoSlot,
    waiting::{Grant, Queued},
};

/// A slot that is held; dropping it gives it back.
#[derive(Debug)]
pub struct Slot {
    slots: BackendSlots,
    since: Instant,
    /// Share of the slots that was taken when this one was, itself included.
    occupancy: f64,
    /// Kind of the call that ran on it, if its time shows how busy the back end is.
    kind: Option<u16>,
}

impl Slot {
    pub(super) const fn new(slots: BackendSlots, since: Instant, occupancy: f64) -> Self {
        Self {
            slots,
            since,
            occupancy,
            kind: None,
        }
    }

    /// Time for which it has been held.
    #[must_use]
    pub fn held(&self) -> Duration {
        self.since.elapsed()
    }

    /// The call ended well and made no calls of its own, so that the time that it took is the back
    /// end's. Calls of one kind take about the same time.
    pub const fn ended_well(&mut self, kind: u16) {
        self.kind = Some(kind);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.since);
        let mut table = self.slots.table();
        table.give_back(took, now);
        if let Some(kind) = self.kind {
            table.adapt_share(kind, took, self.occupancy, now);
        }
        table.grant(now);
    }
}

/// The place of a call in the queue; dropping it leaves the queue, and gives back a slot that was
/// granted and not taken.
pub(super) struct QueuePlace {
    slots: BackendSlots,
    ticket: Ticket,
    waiter: u64,
    grant: oneshot::Receiver<Grant>,
    /// Whether the grant or refusal was taken.
    is_answered: bool,
}

impl QueuePlace {
    pub(super) fn new(slots: BackendSlots, queued: Queued) -> Self {
        Self {
            slots,
            ticket: queued.ticket,
            waiter: queued.waiter,
            grant: queued.grant,
            is_answered: false,
        }
    }

    /// Waits for a slot until `wait_until` at most.
    pub(super) async fn wait(mut self, wait_until: Instant) -> Result<Slot, NoSlot> {
        let granted = timeout_at(wait_until, &mut self.grant).await;
        let Ok(Ok(granted)) = granted else {
            return Err(NoSlot::Full);
        };
        self.is_answered = true;
        granted?;
        let occupancy = self.slots.table().occupancy();
        Ok(Slot::new(self.slots.clone(), Instant::now(), occupancy))
    }

    /// Gives back a slot that was granted while its call gave up.
    fn return_unused(&mut self) {
        self.grant.close();
        if let Ok(Ok(())) = self.grant.try_recv() {
            drop(Slot::new(self.slots.clone(), Instant::now(), 0.0));
        }
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        if !self.is_answered {
            self.return_unused();
        }
        self.slots.table().waiting.leave(self.waiter, self.ticket);
    }
}
