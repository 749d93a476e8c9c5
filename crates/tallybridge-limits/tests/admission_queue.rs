//! The admission queue against a list that is searched from end to end.
//!
//! The long run with fresh sequences, where `N` is any number: `PROPTEST_RNG_SEED=N
//! PROPTEST_CASES=10000 cargo test --release -p tallybridge-limits --test admission_queue`.

mod seeded;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use tallybridge_core::Criticality;
use tallybridge_limits::{AdmissionQueue, Offer, QueueSettings, Ticket, Waiting};

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
        time_left: u64,
        age: u64,
    },
    Take,
    Expire,
    /// Cancels the call offered as this number, modulo the calls offered so far.
    Cancel(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_usize, 0..120_u64, 0..10_u64)
            .prop_map(|(class, time_left, age)| Step::Offer { class, time_left, age }),
        3 => Just(Step::Take),
        1 => Just(Step::Expire),
        1 => any::<usize>().prop_map(Step::Cancel),
        3 => (0..30_u64).prop_map(Step::Pass),
    ]
}

/// Calls in the order in which they were offered.
#[derive(Default)]
struct Oracle {
    waiting: Vec<Waiting<usize>>,
    late: Vec<usize>,
    occupied_since: [Option<Instant>; 4],
}

impl Oracle {
    fn class(&self, class: usize) -> Vec<Waiting<usize>> {
        let of_class = |call: &&Waiting<usize>| call.criticality.index() == class;
        let mut calls: Vec<_> = self.waiting.iter().filter(of_class).copied().collect();
        calls.sort_by_key(|call| call.arrived);
        calls
    }

    fn is_standing(&self, class: usize, now: Instant) -> bool {
        let is_late = |call: &Waiting<usize>| now - call.arrived > SETTINGS.target_delay;
        self.occupied_since[class].is_some_and(|since| now - since >= SETTINGS.interval)
            && self.class(class).iter().any(is_late)
    }

    /// Calls of a class in the order in which they would run.
    fn run_order(&self, class: usize, now: Instant) -> Vec<Waiting<usize>> {
        let mut calls = self.class(class);
        if self.is_standing(class, now) {
            calls.reverse();
        }
        calls
    }

    fn add(&mut self, call: Waiting<usize>, now: Instant) {
        self.waiting.push(call);
        self.occupied_since[call.criticality.index()].get_or_insert(now);
    }

    fn remove(&mut self, item: usize) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|call| call.item != item);
        for class in 0..4 {
            if self.class(class).is_empty() {
                self.occupied_since[class] = None;
            }
        }
        self.waiting.len() < before
    }

    fn set_late_aside(&mut self, now: Instant) {
        for call in self.waiting.clone() {
            if call.deadline <= now + SERVICE_TIME {
                self.remove(call.item);
                self.late.push(call.item);
            }
        }
    }

    fn offer(&mut self, call: Waiting<usize>, now: Instant) -> Option<usize> {
        self.set_late_aside(now);
        let mut loser = None;
        if self.waiting.len() == SETTINGS.capacity {
            let lesser = (0..call.criticality.index())
                .find_map(|class| self.run_order(class, now).last().copied());
            loser = Some(lesser.map_or(call.item, |lesser| lesser.item));
        }
        if let Some(loser) = loser {
            self.remove(loser);
        }
        if loser != Some(call.item) {
            self.add(call, now);
        }
        loser
    }

    fn take(&mut self, now: Instant) -> Option<usize> {
        self.set_late_aside(now);
        let next = (0..4)
            .rev()
            .find_map(|class| self.run_order(class, now).first().copied())?;
        self.remove(next.item);
        Some(next.item)
    }

    fn expire(&mut self, now: Instant) -> Vec<usize> {
        self.set_late_aside(now);
        for class in 0..3 {
            let is_delayed = |call: &Waiting<usize>| now - call.arrived > SETTINGS.target_delay;
            let delayed: Vec<_> = self.class(class).into_iter().filter(is_delayed).collect();
            if delayed.is_empty() || !self.is_standing(class, now) {
                continue;
            }
            let lesser = (0..class).flat_map(|lesser| self.class(lesser));
            for call in lesser.chain(delayed).collect::<Vec<_>>() {
                self.remove(call.item);
                self.late.push(call.item);
            }
        }
        std::mem::take(&mut self.late)
    }

    fn cancel(&mut self, item: usize) -> bool {
        let was_late = self.late.contains(&item);
        self.late.retain(|late| *late != item);
        self.remove(item) || was_late
    }
}

/// The queue, the oracle, and what became of each call.
struct Run {
    queue: AdmissionQueue<usize>,
    oracle: Oracle,
    now: Instant,
    tickets: Vec<Option<Ticket>>,
    out: Vec<usize>,
}

impl Run {
    fn new() -> Self {
        let mut queue = AdmissionQueue::new(SETTINGS);
        queue.set_expected_service_time(SERVICE_TIME);
        Self {
            queue,
            oracle: Oracle::default(),
            now: Instant::now() + Duration::from_secs(60),
            tickets: Vec::new(),
            out: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Offer {
                class,
                time_left,
                age,
            } => self.offer(class, time_left, age)?,
            Step::Take => self.take()?,
            Step::Expire => self.expire()?,
            Step::Cancel(number) => self.cancel(number)?,
            Step::Pass(millis) => self.now += Duration::from_millis(millis),
        }
        prop_assert_eq!(self.queue.len(), self.oracle.waiting.len());
        for class in Criticality::ALL {
            let expected = self.oracle.class(class.index()).len();
            prop_assert_eq!(self.queue.len_by_class(class), expected);
        }
        Ok(())
    }

    fn offer(&mut self, class: usize, time_left: u64, age: u64) -> Result<(), TestCaseError> {
        let item = self.tickets.len();
        let call = Waiting {
            criticality: Criticality::ALL[class],
            deadline: self.now + Duration::from_millis(time_left),
            arrived: self.now - Duration::from_millis(age),
            item,
        };
        let (ticket, loser) = match self.queue.offer(call, self.now) {
            Offer::Queued(ticket) => (Some(ticket), None),
            Offer::QueuedDisplacing(ticket, displaced) => (Some(ticket), Some(displaced)),
            Offer::Refused(refused) => (None, Some(refused)),
        };
        prop_assert_eq!(loser, self.oracle.offer(call, self.now));
        if ticket.is_none() {
            let least = self
                .oracle
                .waiting
                .iter()
                .map(|call| call.criticality)
                .min();
            prop_assert!(
                least >= Some(call.criticality),
                "refused while lesser work is queued"
            );
        }
        self.tickets.push(ticket);
        self.out.extend(loser);
        Ok(())
    }

    fn take(&mut self) -> Result<(), TestCaseError> {
        let taken = self.queue.take(self.now);
        prop_assert_eq!(taken.map(|call| call.item), self.oracle.take(self.now));
        if let Some(call) = taken {
            prop_assert!(call.deadline > self.now, "an expired call was taken");
            self.out.push(call.item);
        }
        Ok(())
    }

    fn expire(&mut self) -> Result<(), TestCaseError> {
        let mut expired = self.queue.expire(self.now);
        let mut expected = self.oracle.expire(self.now);
        expired.sort_unstable();
        expected.sort_unstable();
        prop_assert_eq!(&expired, &expected);
        self.out.extend(expired);
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
        prop_assert_eq!(cancelled.is_some(), self.oracle.cancel(item));
        self.out.extend(cancelled);
        Ok(())
    }

    /// Empties the queue: each call must have come out exactly once.
    fn finish(mut self) -> Result<(), TestCaseError> {
        while !self.queue.is_empty() {
            self.take()?;
        }
        self.expire()?;
        self.out.sort_unstable();
        let offered: Vec<_> = (0..self.tickets.len()).collect();
        prop_assert_eq!(self.out, offered);
        Ok(())
    }
}

proptest! {
    #![proptest_config(seeded::config())]

    #[test]
    fn behaves_as_a_searched_list(steps in prop::collection::vec(step(), 1..120)) {
        let mut run = Run::new();
        for step in &steps {
            run.step(step)?;
        }
        run.finish()?;
    }
}
