//! What a call costs: the time for which it holds slots of each service that it needs.
//!
//! Executors add up the times of a call and of the calls below it; entries learn from the sum what a
//! request of a route costs ([`crate::tables::admission`]).

use std::{sync::Arc, time::Duration};

/// Time for which slots of one service were held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTime {
    /// The service.
    pub service: Arc<str>,
    /// The time, summed over all calls to the service.
    pub held: Duration,
}

/// Time for which a call and all calls below it held slots, by service. It is sent with the answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotTimes(Vec<ServiceTime>);

impl SlotTimes {
    /// Adds the time of one more call.
    pub fn add(&mut self, service: &Arc<str>, held: Duration) {
        match self.0.iter_mut().find(|time| time.service == *service) {
            Some(time) => time.held += held,
            None => self.0.push(ServiceTime {
                service: service.clone(),
                held,
            }),
        }
    }

    /// Adds all times of a nested call.
    pub fn add_all(&mut self, nested: &Self) {
        for time in nested.iter() {
            self.add(&time.service, time.held);
        }
    }

    /// The times, each service once.
    pub fn iter(&self) -> impl Iterator<Item = &ServiceTime> {
        self.0.iter()
    }

    /// Time for which slots of a service were held; zero if none were.
    #[must_use]
    pub fn of(&self, service: &str) -> Duration {
        let found = self.0.iter().find(|time| *time.service == *service);
        found.map_or(Duration::ZERO, |time| time.held)
    }
}

impl FromIterator<ServiceTime> for SlotTimes {
    fn from_iter<I: IntoIterator<Item = ServiceTime>>(times: I) -> Self {
        let mut all = Self::default();
        for time in times {
            all.add(&time.service, time.held);
        }
        all
    }
}
