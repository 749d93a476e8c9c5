//! Slots of the back end beside this node, and the calls that wait for one.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tallybridge_core::Criticality;
use tallybridge_limits::{AdmissionQueue, Offer, QueueSettings, Ticket, Waiting};
use tokio::{sync::oneshot, time::Instant};

use super::{offered_load::OfferedLoad, slot_share::SlotShare};
use crate::protocol::Load;

/// Slots that a back end is given before it told how many it has.
const FIRST_SLOTS: u32 = 16;
/// Calls that may wait, for each slot.
const QUEUE_PER_SLOT: usize = 4;
/// Weight of the newest call in the mean time that calls take.
const SERVICE_TIME_GAIN: f64 = 0.05;
/// After this time without a call that ended, the mean time that calls take is believed less and
/// less: a back end that was slow gets calls again, and shows whether it still is.
const SERVICE_TIME_TRUSTED: Duration = Duration::from_millis(1500);
/// Time in which that belief shrinks to a third.
const SERVICE_TIME_FADE: Duration = Duration::from_millis(2000);
/// Weight of the newest call in the mean time that calls wait.
const WAIT_GAIN: f64 = 0.1;

/// Why a call gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoSlot {
    /// The back end is full for longer than the call may wait.
    Full,
    /// The back end takes no more work.
    Closed,
}

#[derive(Debug)]
struct SlotTable {
    slots: u32,
    share: SlotShare,
    limit: u16,
    in_flight: u16,
    queue: AdmissionQueue<u64>,
    waiting: HashMap<u64, oneshot::Sender<Result<(), NoSlot>>>,
    next_waiter: u64,
    service_seconds: f64,
    served_at: Option<Instant>,
    wait_seconds: f64,
    offered: OfferedLoad,
}

/// The slots of a back end.
#[derive(Debug, Clone)]
pub struct BackendSlots(Arc<Mutex<SlotTable>>);

impl Default for BackendSlots {
    fn default() -> Self {
        let share = SlotShare::default();
        let table = SlotTable {
            slots: FIRST_SLOTS,
            limit: usable(FIRST_SLOTS, share.share()),
            share,
            in_flight: 0,
            queue: queue_for(FIRST_SLOTS),
            waiting: HashMap::new(),
            next_waiter: 0,
            service_seconds: 0.0,
            served_at: None,
            wait_seconds: 0.0,
            offered: OfferedLoad::default(),
        };
        Self(Arc::new(Mutex::new(table)))
    }
}

fn queue_for(slots: u32) -> AdmissionQueue<u64> {
    AdmissionQueue::new(QueueSettings {
        capacity: slots as usize * QUEUE_PER_SLOT,
        ..QueueSettings::default()
    })
}

/// Slots that are used: back ends slow down when they are nearly full.
fn usable(slots: u32, share: f64) -> u16 {
    let used = (f64::from(slots) * share).floor() as u16;
    used.max(1)
}

/// A slot that is held; dropping it gives it back.
#[derive(Debug)]
pub struct Slot {
    work: BackendSlots,
    since: Instant,
    /// Share of the slots that was taken when it was, this one included.
    load: f64,
    /// Kind of the call that ran on it, if its time says how busy the back end is.
    timed: Option<u16>,
}

impl Slot {
    /// Time for which it has been held.
    #[must_use]
    pub fn held(&self) -> Duration {
        self.since.elapsed()
    }

    /// The call ended well and made no calls of its own, so that the time that it took is the back
    /// end's. Calls of one kind take about the same time.
    pub const fn ended_well(&mut self, kind: u16) {
        self.timed = Some(kind);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.since);
        let mut table = self.work.table();
        table.in_flight = table.in_flight.saturating_sub(1);
        table.served(took, now);
        table.offered.ended(took, now);
        if let Some(kind) = self.timed {
            table.timed(kind, took, self.load, now);
        }
        table.grant(now);
    }
}

fn move_towards(mean: &mut f64, sample: Duration, gain: f64) {
    *mean += (sample.as_secs_f64() - *mean) * gain;
}

/// A place in the queue; dropping it leaves the queue.
struct Place {
    work: BackendSlots,
    ticket: Ticket,
    waiter: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut table = self.work.table();
        if table.waiting.remove(&self.waiter).is_some() {
            table.queue.cancel(self.ticket);
        }
    }
}

impl SlotTable {
    fn served(&mut self, took: Duration, now: Instant) {
        if self.served_at.is_none() {
            self.service_seconds = took.as_secs_f64();
        }
        self.service_seconds = self.believed_service_seconds(now);
        move_towards(&mut self.service_seconds, took, SERVICE_TIME_GAIN);
        self.served_at = Some(now);
    }

    fn timed(&mut self, kind: u16, took: Duration, load: f64, now: Instant) {
        let kept = self.share.kept();
        let in_flight = self.in_flight.into();
        let share = &mut self.share;
        if !share.ended(kind, took, load, in_flight, now.into_std()) {
            return;
        }
        self.adopt_share();
        let share = self.share.kept();
        if share != kept {
            tracing::info!(
                share,
                before = kept,
                slots = self.slots,
                "other share of slots used"
            );
        }
    }

    fn adopt_share(&mut self) {
        self.limit = usable(self.slots, self.share.share());
    }

    /// Work that arrives as a share of what the slots in use can do.
    fn offered(&self, now: Instant) -> f64 {
        self.offered.slots(now) / f64::from(self.limit.max(1))
    }

    fn load(&self) -> f64 {
        f64::from(self.in_flight) / f64::from(self.slots)
    }

    fn believed_service_seconds(&self, now: Instant) -> f64 {
        let silent = self
            .served_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let faded = silent.saturating_sub(SERVICE_TIME_TRUSTED);
        let shrink = -faded.as_secs_f64() / SERVICE_TIME_FADE.as_secs_f64();
        self.service_seconds * shrink.exp()
    }

    fn grant(&mut self, now: Instant) {
        for late in self.queue.expire(now.into_std()) {
            self.refuse(late, NoSlot::Full);
        }
        while self.in_flight < self.limit {
            let Some(next) = self.queue.take(now.into_std()) else {
                return;
            };
            let Some(waiter) = self.waiting.remove(&next.item) else {
                continue;
            };
            let waited = now.into_std().saturating_duration_since(next.arrived);
            move_towards(&mut self.wait_seconds, waited, WAIT_GAIN);
            if waiter.send(Ok(())).is_ok() {
                self.in_flight += 1;
            }
        }
    }

    fn refuse(&mut self, waiter: u64, reason: NoSlot) {
        if let Some(waiter) = self.waiting.remove(&waiter) {
            let _ = waiter.send(Err(reason));
        }
    }

    /// Time until a call of a class gets a slot, as far as can be told.
    fn expected_wait(&self, criticality: Criticality) -> Duration {
        let ahead: usize = Criticality::ALL
            .into_iter()
            .filter(|class| *class >= criticality)
            .map(|class| self.queue.len_by_class(class))
            .sum();
        let rate = self.service_seconds / f64::from(self.limit.max(1));
        Duration::from_secs_f64(ahead as f64 * rate)
    }
}

impl BackendSlots {
    fn table(&self) -> MutexGuard<'_, SlotTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gets a slot, waiting for it until `wait_until` at most.
    ///
    /// # Errors
    ///
    /// [`NoSlot`] when there is none in time, or the wait would be for nothing.
    pub async fn slot(
        &self,
        criticality: Criticality,
        wait_until: Instant,
    ) -> Result<Slot, NoSlot> {
        let (mut receiver, place) = {
            let now = Instant::now();
            let mut table = self.table();
            table.offered.arrived(now);
            if table.in_flight < table.limit && table.queue.is_empty() {
                table.in_flight += 1;
                move_towards(&mut table.wait_seconds, Duration::ZERO, WAIT_GAIN);
                return Ok(self.slot_since(now, table.load()));
            }
            if now + table.expected_wait(criticality) >= wait_until {
                return Err(NoSlot::Full);
            }
            let waiter = table.next_waiter;
            table.next_waiter += 1;
            let offer = table.queue.offer(
                Waiting {
                    criticality,
                    deadline: wait_until.into_std(),
                    arrived: now.into_std(),
                    item: waiter,
                },
                now.into_std(),
            );
            let ticket = match offer {
                Offer::Queued(ticket) => ticket,
                Offer::QueuedDisplacing(ticket, displaced) => {
                    table.refuse(displaced, NoSlot::Full);
                    ticket
                }
                Offer::Refused(_) => return Err(NoSlot::Full),
            };
            let (sender, receiver) = oneshot::channel();
            table.waiting.insert(waiter, sender);
            let place = Place {
                work: self.clone(),
                ticket,
                waiter,
            };
            (receiver, place)
        };
        let granted = GrantedSlot {
            work: self,
            receiver: &mut receiver,
            taken: false,
        };
        let result = granted.wait(wait_until).await;
        drop(place);
        result
    }

    fn slot_since(&self, since: Instant, load: f64) -> Slot {
        Slot {
            work: self.clone(),
            since,
            load,
            timed: None,
        }
    }

    /// Gives up a trial of another share of the slots when load no longer fills it.
    pub fn tick(&self) {
        let now = Instant::now();
        let mut table = self.table();
        if table.share.is_idle(now.into_std()) {
            table.adopt_share();
            table.grant(now);
        }
    }

    /// Another instance has the place of the one that had the slots.
    pub fn forget_instance(&self) {
        let mut table = self.table();
        table.share.forget();
        table.adopt_share();
    }

    /// Takes in how many requests the back end works on at once.
    pub fn set_slots(&self, slots: u32) {
        let slots = if slots == 0 { FIRST_SLOTS } else { slots };
        let mut table = self.table();
        if table.slots == slots {
            return;
        }
        table.slots = slots;
        table.adopt_share();
        if table.queue.is_empty() {
            table.queue = queue_for(slots);
        }
        table.grant(Instant::now());
    }

    /// Refuses every call that waits.
    pub fn refuse_waiting(&self) {
        let mut table = self.table();
        let waiting: Vec<u64> = table.waiting.keys().copied().collect();
        for waiter in waiting {
            table.refuse(waiter, NoSlot::Closed);
        }
        let limit = u32::from(table.limit);
        table.queue = queue_for(limit);
    }

    /// How busy the back end is; slots don't know how calls end.
    #[must_use]
    pub fn load(&self) -> Load {
        let table = self.table();
        Load {
            limit: table.limit,
            in_flight: table.in_flight,
            queued: u16::try_from(table.queue.len()).unwrap_or(u16::MAX),
            wait_ms: (table.wait_seconds * 1000.0) as u16,
            service_ms: (table.believed_service_seconds(Instant::now()) * 1000.0) as u16,
            failing: 0,
            offered: (table.offered(Instant::now()) * 100.0) as u16,
        }
    }

    /// Mean time that a call is with the back end.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.table().service_seconds.max(0.0))
    }
}

/// Waits for a grant; one that comes when nobody waits any more gives its slot back.
struct GrantedSlot<'a> {
    work: &'a BackendSlots,
    receiver: &'a mut oneshot::Receiver<Result<(), NoSlot>>,
    taken: bool,
}

impl GrantedSlot<'_> {
    async fn wait(mut self, wait_until: Instant) -> Result<Slot, NoSlot> {
        let granted = tokio::time::timeout_at(wait_until, &mut *self.receiver).await;
        match granted {
            Ok(Ok(Ok(()))) => {
                self.taken = true;
                let load = self.work.table().load();
                Ok(self.work.slot_since(Instant::now(), load))
            }
            Ok(Ok(Err(reason))) => {
                self.taken = true;
                Err(reason)
            }
            Ok(Err(_)) | Err(_) => Err(NoSlot::Full),
        }
    }
}

impl Drop for GrantedSlot<'_> {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        self.receiver.close();
        if let Ok(Ok(())) = self.receiver.try_recv() {
            drop(self.work.slot_since(Instant::now(), 0.0));
        }
    }
}
