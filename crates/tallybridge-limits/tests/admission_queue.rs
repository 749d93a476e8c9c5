//! Compares the admission queue with a model that searches an unsorted list.
//!
//! For a long run with other sequences, replace `N` by any number: `PROPTEST_RNG_SEED=N
//! PROPTEST_CASES=10000 cargo test --release -p tallybridge-limits --test admission_queue`.

mod seeded;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tallybridge_core::Criticality;
use tallybridge_limits::{AdmissionQueue, Offer, QueueSettings, QueuedCall, Ticket};

const SETTINGS: QueueSettings = QueueSettings {
    capacity: 6,
    target_delay: Duration::from_millis(20),
    interval: Duration::from_millis(50),
};
const SERVICE_TIME: Duration = Duration::from_millis(3);

#[derive(Debug, Clone)]
enum Step {
    Offer {
        class: usize,
        time_left_ms: u64,
        age_ms: u64,
    },
    Take,
    Expire,
    /// Cancels the call with this index, modulo the number of calls offered so far.
    Cancel(usize),
    AdvanceMillis(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_usize, 0..120_u64, 0..10_u64)
            .prop_map(|(class, time_left_ms, age_ms)| Step::Offer { class, time_left_ms, age_ms }),
        3 => Just(Step::Take),
        1 => Just(Step::Expire),
        1 => any::<usize>().prop_map(Step::Cancel),
        3 => (0..30_u64).prop_map(Step::AdvanceMillis),
    ]
}

/// Reference model that keeps the waiting calls in the order of their offers.
#[derive(Default)]
struct ListModel {
    waiting: Vec<QueuedCall<usize>>,
    expired: Vec<usize>,
    occupied_since: [Option<Instant>; 4],
}

impl ListModel {
    fn calls_in_class(&self, class: usize) -> Vec<QueuedCall<usize>> {
        let is_in_class = |call: &&QueuedCall<usize>| call.criticality.index() == class;
        let mut calls: Vec<_> = self.waiting.iter().filter(is_in_class).copied().collect();
        calls.sort_by_key(|call| call.arrived);
        calls
    }

    fn is_standing(&self, class: usize, now: Instant) -> bool {
        let is_delayed = |call: &QueuedCall<usize>| now - call.arrived > SETTINGS.target_delay;
        self.occupied_since[class].is_some_and(|since| now - since >= SETTINGS.interval)
            && self.calls_in_class(class).iter().any(is_delayed)
    }

    /// Returns the calls of a class in serving order.
    fn serving_order(&self, class: usize, now: Instant) -> Vec<QueuedCall<usize>> {
        let mut calls = self.calls_in_class(class);
        if self.is_standing(class, now) {
            calls.reverse();
        }
        calls
    }

    fn add(&mut self, call: QueuedCall<usize>, now: Instant) {
        self.waiting.push(call);
        self.occupied_since[call.criticality.index()].get_or_insert(now);
    }

    fn remove(&mut self, item: usize) -> bool {
        let previous_len = self.waiting.len();
        self.waiting.retain(|call| call.item != item);
        for class in 0..4 {
            if self.calls_in_class(class).is_empty() {
                self.occupied_since[class] = None;
            }
        }
        self.waiting.len() < previous_len
    }

    fn expire_overdue(&mut self, now: Instant) {
        for call in self.waiting.clone() {
            if call.deadline <= now + SERVICE_TIME {
                self.remove(call.item);
                self.expired.push(call.item);
            }
        }
    }

    fn offer(&mut self, call: QueuedCall<usize>, now: Instant) -> Option<usize> {
        self.expire_overdue(now);
        let mut refused = None;
        if self.waiting.len() == SETTINGS.capacity {
            let less_critical = (0..call.criticality.index())
                .find_map(|class| self.serving_order(class, now).last().copied());
            refused = Some(less_critical.map_or(call.item, |less_critical| less_critical.item));
        }
        if let Some(refused) = refused {
            self.remove(refused);
        }
        if refused != Some(call.item) {
            self.add(call, now);
        }
        refused
    }

    fn take(&mut self, now: Instant) -> Option<usize> {
        self.expire_overdue(now);
        let next = (0..4)
            .rev()
            .find_map(|class| self.serving_order(class, now).first().copied())?;
        self.remove(next.item);
        Some(next.item)
    }

    fn expire(&mut self, now: Instant) -> Vec<usize> {
        self.expire_overdue(now);
        for class in 0..3 {
            let is_delayed = |call: &QueuedCall<usize>| now - call.arrived > SETTINGS.target_delay;
            let delayed: Vec<_> = self
                .calls_in_class(class)
                .into_iter()
                .filter(is_delayed)
                .collect();
            if delayed.is_empty() || !self.is_standing(class, now) {
                continue;
            }
            let less_critical = (0..class).flat_map(|lower_class| self.calls_in_class(lower_class));
            for call in less_critical.chain(delayed).collect::<Vec<_>>() {
                self.remove(call.item);
                self.expired.push(call.item);
            }
        }
        std::mem::take(&mut self.expired)
    }

    fn cancel(&mut self, item: usize) -> bool {
        let was_expired = self.expired.contains(&item);
        self.expired.retain(|expired| *expired != item);
        self.remove(item) || was_expired
    }
}

/// Applies each step to both the queue and the model and compares the results.
struct Comparison {
    queue: AdmissionQueue<usize>,
    model: ListModel,
    now: Instant,
    tickets: Vec<Option<Ticket>>,
    removed: Vec<usize>,
}

impl Comparison {
    fn new() -> Self {
        let mut queue = AdmissionQueue::new(SETTINGS);
        queue.set_expected_service_time(SERVICE_TIME);
        Self {
            queue,
            model: ListModel::default(),
            now: Instant::now() + Duration::from_secs(60),
            tickets: Vec::new(),
            removed: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Offer {
                class,
                time_left_ms,
                age_ms,
            } => self.offer(class, time_left_ms, age_ms)?,
            Step::Take => self.take()?,
            Step::Expire => self.expire()?,
            Step::Cancel(number) => self.cancel(number)?,
            Step::AdvanceMillis(millis) => self.now += Duration::from_millis(millis),
        }
        prop_assert_eq!(self.queue.len(), self.model.waiting.len());
        for class in Criticality::ALL {
            let expected = self.model.calls_in_class(class.index()).len();
            prop_assert_eq!(self.queue.len_by_class(class), expected);
        }
        Ok(())
    }

    fn offer(&mut self, class: usize, time_left_ms: u64, age_ms: u64) -> Result<(), TestCaseError> {
        let item = self.tickets.len();
        let call = QueuedCall {
            criticality: Criticality::ALL[class],
            deadline: self.now + Duration::from_millis(time_left_ms),
            arrived: self.now - Duration::from_millis(age_ms),
            item,
        };
        let (ticket, refused) = match self.queue.offer(call, self.now) {
            Offer::Queued(ticket) => (Some(ticket), None),
            Offer::QueuedDisplacing(ticket, displaced) => (Some(ticket), Some(displaced)),
            Offer::Refused(refused) => (None, Some(refused)),
        };
        prop_assert_eq!(refused, self.model.offer(call, self.now));
        if ticket.is_none() {
            let least_critical = self.model.waiting.iter().map(|call| call.criticality).min();
            prop_assert!(
                least_critical >= Some(call.criticality),
                "a call was refused although a less critical call is queued"
            );
        }
        self.tickets.push(ticket);
        self.removed.extend(refused);
        Ok(())
    }

    fn take(&mut self) -> Result<(), TestCaseError> {
        let taken = self.queue.take(self.now);
        prop_assert_eq!(taken.map(|call| call.item), self.model.take(self.now));
        if let Some(call) = taken {
            prop_assert!(
                call.deadline > self.now,
                "a call was taken after its deadline"
            );
            self.removed.push(call.item);
        }
        Ok(())
    }

    fn expire(&mut self) -> Result<(), TestCaseError> {
        let mut expired = self.queue.expire(self.now);
        let mut expected = self.model.expire(self.now);
        expired.sort_unstable();
        expected.sort_unstable();
        prop_assert_eq!(&expired, &expected);
        self.removed.extend(expired);
        Ok(())
    }

    fn cancel(&mut self, number: usize) -> Result<(), TestCaseError> {
        if self.tickets.is_empty() {
            return Ok(());
        }
        let item = number % self.tickets.len();
        let Some(ticket) = self.tickets[item] else {
            return Ok(());
        };
        let cancelled = self.queue.cancel(ticket);
        prop_assert_eq!(cancelled.is_some(), self.model.cancel(item));
        self.removed.extend(cancelled);
        Ok(())
    }

    /// Drains the queue and checks that each offered call left the queue exactly once.
    fn finish(mut self) -> Result<(), TestCaseError> {
        while !self.queue.is_empty() {
            self.take()?;
        }
        self.expire()?;
        self.removed.sort_unstable();
        let offered: Vec<_> = (0..self.tickets.len()).collect();
        prop_assert_eq!(self.removed, offered);
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded::config())]

    #[test]
    fn matches_list_model(steps in prop::collection::vec(step(), 1..120)) {
        let mut comparison = Comparison::new();
        for step in &steps {
            comparison.step(step)?;
        }
        comparison.finish()?;
    }
}
