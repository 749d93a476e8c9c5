//! Counts work that has begun and whose result has not been written yet.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Number of pieces of work in flight. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct InFlightCounter(Arc<AtomicUsize>);

impl InFlightCounter {
    /// Counts one piece of work until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self) -> InFlight {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlight(self.0.clone())
    }

    /// Returns the number of guards that exist.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Guard that counts one piece of work as in flight.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
