//! The retry allowance that a request passes down its call graph.

/// Retries that remain for a request, or for one call and its nested calls.
///
/// The root call starts with R retries. A nested call receives half of the retries that its parent
/// has left, and its answer returns the unused ones. Retries passed to a call whose answer is lost
/// count as spent. The sum of all allowances of a request never grows, so a request is retried at
/// most R times in total, and no position in its call graph runs more than 1 + R times.
///
/// Passing on half, rounded up, leaves the parent some retries after a lost answer and still gives
/// the deepest call of a chain one retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Allowance {
    remaining: u8,
}

impl Allowance {
    /// Creates the allowance of a root call, or of a nested call that received `retries` from its
    /// parent.
    #[must_use]
    pub fn root(retries: u8) -> Self {
        Self { remaining: retries }
    }

    /// Returns the number of retries left, without those that nested calls hold.
    #[must_use]
    pub fn remaining(self) -> u8 {
        self.remaining
    }

    /// Removes half of the remaining retries, rounded up, and returns them for a nested call.
    #[must_use = "the returned retries are spent unless `give_back` restores them"]
    pub fn lend(&mut self) -> u8 {
        let granted = self.remaining.div_ceil(2);
        self.remaining -= granted;
        granted
    }

    /// Restores the retries that a nested call did not use out of the `granted` ones.
    ///
    /// Another process reports `unused`. A count above `granted` is invalid, so all granted retries
    /// then count as spent. Must be called at most once for each [`lend`](Self::lend).
    pub fn give_back(&mut self, unused: u8, granted: u8) {
        if unused <= granted {
            self.remaining = self.remaining.saturating_add(unused);
        }
    }

    /// Deducts one retry, or returns `false` when none remains.
    #[must_use = "a retry may run only if this returns true"]
    pub fn spend(&mut self) -> bool {
        let Some(remaining) = self.remaining.checked_sub(1) else {
            return false;
        };
        self.remaining = remaining;
        true
    }
}
