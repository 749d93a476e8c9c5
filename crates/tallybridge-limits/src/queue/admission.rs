//! Admission queue of one back end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tallybridge_core::Criticality;

use super::class::{ClassQueue, Position};
use super::offer::{Offer, QueuedCall, Ticket};
use super::settings::QueueSettings;

/// A bounded queue of calls that wait for a slot of a back end, ordered by criticality.
///
/// The most critical class is served first. Within a class, the oldest call is served first, or the
/// newest while the class has a standing queue. Calls that cannot complete before their deadline
/// leave the queue without using a slot. Each operation takes O(log n) for each call that it moves.
#[derive(Debug, Clone)]
pub struct AdmissionQueue<T> {
    settings: QueueSettings,
    expected_service_time: Duration,
    next_ticket: u64,
    entries: BTreeMap<u64, QueuedCall<T>>,
    classes: [ClassQueue; Criticality::ALL.len()],
    deadlines: BTreeSet<Position>,
    expired: BTreeMap<u64, T>,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            expected_service_time: Duration::ZERO,
            next_ticket: 0,
            entries: BTreeMap::new(),
            classes: Default::default(),
            deadlines: BTreeSet::new(),
            expired: BTreeMap::new(),
        }
    }

    /// Sets how long the back end is expected to run a call. The queue expires calls with no more time
    /// than that, so the estimate should be low to keep calls that may still succeed.
    pub fn set_expected_service_time(&mut self, expected: Duration) {
        self.expected_service_time = expected;
    }

    /// Returns the number of waiting calls, without the expired ones that [`expire`](Self::expire) will
    /// return.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no call waits, ignoring expired calls that [`expire`](Self::expire) will return.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting calls of one class.
    #[must_use]
    pub fn len_by_class(&self, criticality: Criticality) -> usize {
        self.classes[criticality.index()].len()
    }

    /// Adds a call to the queue. If the queue is full, the call displaces the last call in serving
    /// order if that one is less critical, and is refused otherwise.
    pub fn offer(&mut self, call: QueuedCall<T>, now: Instant) -> Offer<T> {
        self.expire_overdue(now);
        if self.entries.len() < self.settings.capacity {
            return Offer::Queued(self.insert(call, now));
        }
        match self.remove_last_below(call.criticality, now) {
            Some(displaced) => Offer::QueuedDisplacing(self.insert(call, now), displaced.item),
            None => Offer::Refused(call.item),
        }
    }

    /// Removes and returns the call to run next. Never returns a call whose deadline has passed.
    pub fn take(&mut self, now: Instant) -> Option<QueuedCall<T>> {
        self.expire_overdue(now);
        let position = self.classes.iter().rev().find_map(|class| {
            let is_standing = class.is_standing(&self.settings, now);
            class.next(is_standing)
        })?;
        self.remove(position.1)
    }

    /// Removes and returns the calls that must not run any more. The owner of the queue must refuse
    /// each of them.
    ///
    /// These are calls that cannot complete before their deadline, and calls that waited longer than
    /// the target delay in a standing queue. The most critical class is never shed for its delay. If a
    /// call is shed for its delay, all less critical calls are shed as well.
    #[must_use = "an expired call must be answered"]
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.expire_overdue(now);
        self.shed_delayed(now);
        std::mem::take(&mut self.expired).into_values().collect()
    }

    /// Removes a call whose caller has cancelled it. Returns `None` if the call has already left the
    /// queue.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<T> {
        if let Some(item) = self.expired.remove(&ticket.0) {
            return Some(item);
        }
        self.remove(ticket.0).map(|call| call.item)
    }

    fn insert(&mut self, call: QueuedCall<T>, now: Instant) -> Ticket {
        let number = self.next_ticket;
        self.next_ticket += 1;
        let class = &mut self.classes[call.criticality.index()];
        class.insert((call.arrived, number), now);
        self.deadlines.insert((call.deadline, number));
        self.entries.insert(number, call);
        Ticket(number)
    }

    fn remove(&mut self, number: u64) -> Option<QueuedCall<T>> {
        let call = self.entries.remove(&number)?;
        let class = &mut self.classes[call.criticality.index()];
        class.remove((call.arrived, number));
        self.deadlines.remove(&(call.deadline, number));
        Some(call)
    }

    /// Removes the last call in serving order if it is less critical than `criticality`.
    fn remove_last_below(
        &mut self,
        criticality: Criticality,
        now: Instant,
    ) -> Option<QueuedCall<T>> {
        let less_critical = &self.classes[..criticality.index()];
        let position = less_critical.iter().find_map(|class| {
            let is_standing = class.is_standing(&self.settings, now);
            class.last_served(is_standing)
        })?;
        self.remove(position.1)
    }

    /// Moves calls that cannot complete before their deadline to `expired`.
    fn expire_overdue(&mut self, now: Instant) {
        let earliest_completion = now + self.expected_service_time;
        while let Some(&(deadline, number)) = self.deadlines.first() {
            if deadline > earliest_completion {
                break;
            }
            self.move_to_expired(number);
        }
    }

    /// Moves calls that waited too long in a standing queue to `expired`.
    fn shed_delayed(&mut self, now: Instant) {
        for criticality in Criticality::ALL {
            if criticality == Criticality::CriticalPlus {
                break;
            }
            self.shed_delayed_in_class(criticality, now);
        }
    }

    fn shed_delayed_in_class(&mut self, criticality: Criticality, now: Instant) {
        let index = criticality.index();
        if !self.classes[index].is_standing(&self.settings, now) {
            return;
        }
        while let Some((arrived, number)) = self.classes[index].oldest() {
            if now.saturating_duration_since(arrived) <= self.settings.target_delay {
                break;
            }
            self.expire_less_critical(criticality);
            self.move_to_expired(number);
        }
    }

    fn expire_less_critical(&mut self, criticality: Criticality) {
        for index in 0..criticality.index() {
            while let Some((_, number)) = self.classes[index].oldest() {
                self.move_to_expired(number);
            }
        }
    }

    fn move_to_expired(&mut self, number: u64) {
        if let Some(call) = self.remove(number) {
            self.expired.insert(number, call.item);
        }
    }
}
