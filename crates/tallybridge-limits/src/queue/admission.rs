//! The admission queue of one back end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use tallybridge_core::Criticality;

use super::class::{ClassQueue, Position};
use super::offer::{Offer, Ticket, Waiting};
use super::settings::QueueSettings;

/// A short queue in front of a back end, served by criticality.
///
/// The most critical class is served first. Within a class the earliest arrival is served first,
/// or the newest under a standing queue. Calls that cannot be answered in time leave the queue
/// before they cost a slot. Every operation is O(log n) for each call that it moves.
#[derive(Debug, Clone)]
pub struct AdmissionQueue<T> {
    settings: QueueSettings,
    expected_service_time: Duration,
    next_ticket: u64,
    entries: BTreeMap<u64, Waiting<T>>,
    classes: [ClassQueue; Criticality::ALL.len()],
    deadlines: BTreeSet<Position>,
    late: BTreeMap<u64, T>,
}

impl<T> AdmissionQueue<T> {
    /// An empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings,
            expected_service_time: Duration::ZERO,
            next_ticket: 0,
            entries: BTreeMap::new(),
            classes: Default::default(),
            deadlines: BTreeSet::new(),
            late: BTreeMap::new(),
        }
    }

    /// Sets how long the back end needs for a call. A call with no more time than that is late
    /// already; give a low estimate, since what might still succeed should be tried.
    pub fn set_expected_service_time(&mut self, expected: Duration) {
        self.expected_service_time = expected;
    }

    /// Calls that wait, without those that [`expire`](Self::expire) will return.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Calls of one class that wait.
    #[must_use]
    pub fn len_by_class(&self, criticality: Criticality) -> usize {
        self.classes[criticality.index()].len()
    }

    /// Puts a call into the queue, at the cost of the least one if the queue is full and that one
    /// is of a lesser class.
    pub fn offer(&mut self, waiting: Waiting<T>, now: Instant) -> Offer<T> {
        self.set_late_aside(now);
        if self.entries.len() < self.settings.capacity {
            return Offer::Queued(self.insert(waiting, now));
        }
        match self.remove_least_below(waiting.criticality, now) {
            Some(displaced) => Offer::QueuedDisplacing(self.insert(waiting, now), displaced.item),
            None => Offer::Refused(waiting.item),
        }
    }

    /// Takes the call to run next. It is never one whose time is up.
    pub fn take(&mut self, now: Instant) -> Option<Waiting<T>> {
        self.set_late_aside(now);
        let position = self.classes.iter().rev().find_map(|class| {
            let standing = class.is_standing(&self.settings, now);
            class.next(standing)
        })?;
        self.remove(position.1)
    }

    /// Takes out the calls that are not worth a slot any more; each must be answered as refused.
    ///
    /// Those are the calls whose time is up, and the calls that waited longer than the target
    /// delay in a standing queue of their class, unless they are of the most critical class. While
    /// a call is shed for its delay, nothing of a lesser class stays queued.
    #[must_use = "an expired call must be answered"]
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.set_late_aside(now);
        self.shed_delayed(now);
        std::mem::take(&mut self.late).into_values().collect()
    }

    /// Takes out a call whose caller has given up; `None` when it has left the queue already.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<T> {
        if let Some(item) = self.late.remove(&ticket.0) {
            return Some(item);
        }
        self.remove(ticket.0).map(|waiting| waiting.item)
    }

    fn insert(&mut self, waiting: Waiting<T>, now: Instant) -> Ticket {
        let number = self.next_ticket;
        self.next_ticket += 1;
        let class = &mut self.classes[waiting.criticality.index()];
        class.insert((waiting.arrived, number), now);
        self.deadlines.insert((waiting.deadline, number));
        self.entries.insert(number, waiting);
        Ticket(number)
    }

    fn remove(&mut self, number: u64) -> Option<Waiting<T>> {
        let waiting = self.entries.remove(&number)?;
        let class = &mut self.classes[waiting.criticality.index()];
        class.remove((waiting.arrived, number));
        self.deadlines.remove(&(waiting.deadline, number));
        Some(waiting)
    }

    /// Removes the call that would run last of all, if it is less critical than `criticality`.
    fn remove_least_below(&mut self, criticality: Criticality, now: Instant) -> Option<Waiting<T>> {
        let lesser = &self.classes[..criticality.index()];
        let position = lesser.iter().find_map(|class| {
            let standing = class.is_standing(&self.settings, now);
            class.least(standing)
        })?;
        self.remove(position.1)
    }

    /// Moves calls that cannot be answered in time out of the queue.
    fn set_late_aside(&mut self, now: Instant) {
        let latest = now + self.expected_service_time;
        while let Some(&(deadline, number)) = self.deadlines.first() {
            if deadline > latest {
                break;
            }
            self.set_aside(number);
        }
    }

    /// Moves calls that waited too long in a standing queue out of it.
    fn shed_delayed(&mut self, now: Instant) {
        for criticality in Criticality::ALL {
            if criticality == Criticality::CriticalPlus {
                break;
            }
            self.shed_class(criticality, now);
        }
    }

    fn shed_class(&mut self, criticality: Criticality, now: Instant) {
        let index = criticality.index();
        if !self.classes[index].is_standing(&self.settings, now) {
            return;
        }
        while let Some((arrived, number)) = self.classes[index].oldest() {
            if now.saturating_duration_since(arrived) <= self.settings.target_delay {
                break;
            }
            self.set_lesser_aside(criticality);
            self.set_aside(number);
        }
    }

    fn set_lesser_aside(&mut self, criticality: Criticality) {
        for index in 0..criticality.index() {
            while let Some((_, number)) = self.classes[index].oldest() {
                self.set_aside(number);
            }
        }
    }

    fn set_aside(&mut self, number: u64) {
        if let Some(waiting) = self.remove(number) {
            self.late.insert(number, waiting.item);
        }
    }
}
