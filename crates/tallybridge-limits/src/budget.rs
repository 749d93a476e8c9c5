//! How many retries a destination is sent.
//!
//! **Rule.** Over any time to live, retries are at most a ratio of the first attempts plus a number a
//! second. Each first attempt deposits its part, each retry withdraws one.
//!
//! **Inputs.** First attempts and retries, each counted when it is sent and for the time to live after.
//!
//! **Why.** Retries in proportion to first attempts bound the load that they add when everything fails.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Slices of the time to live; a deposit ages in steps of one slice. Origin not recorded.
const SLICES: u32 = 10;
/// Units in which one withdrawal is counted, so that a share of it is exact.
const UNITS_PER_RETRY: u64 = 1000;

/// Settings of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Retries that each first attempt allows, 0 to 1. *Site Reliability Engineering*, chapter 21,
    /// gives 0.1.
    pub ratio: f64,
    /// Retries allowed each second without any first attempts, for destinations that are rarely
    /// called. Origin of the default not recorded.
    pub min_per_second: u32,
    /// A deposit counts for this time. Origin of the default not recorded.
    pub ttl: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            min_per_second: 1,
            ttl: Duration::from_secs(10),
        }
    }
}

/// Deposits and withdrawals of one slice of time, in units.
#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Instant,
    deposited: u64,
    withdrawn: u64,
}

/// A retry budget of one destination, after Finagle's `RetryBudget`.
///
/// Over any time to live the retries are at most `ratio` of the first attempts plus
/// `min_per_second`. Every operation is O(1): at most ten slices of time are kept.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: BudgetSettings,
    slices: VecDeque<Slice>,
}

impl Budget {
    /// A budget without deposits.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            slices: VecDeque::new(),
        }
    }

    /// Counts one first attempt.
    pub fn deposit(&mut self, now: Instant) {
        let units = (self.settings.ratio.clamp(0.0, 1.0) * UNITS_PER_RETRY as f64).round() as u64;
        self.current(now).deposited += units;
    }

    /// Pays for one retry; `false` when the share of retries is used up.
    #[must_use = "a retry may run only if it was paid for"]
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.withdraw_above(0.0, now)
    }

    /// Pays for one retry that must leave a share of all deposits to others, 0 to 1; `false` when it
    /// would not.
    #[must_use = "a retry may run only if it was paid for"]
    pub fn withdraw_above(&mut self, left: f64, now: Instant) -> bool {
        self.current(now);
        let left = (self.deposited() as f64 * left.clamp(0.0, 1.0)) as u64;
        if self.balance() < UNITS_PER_RETRY + left {
            return false;
        }
        self.charge(now);
        true
    }

    /// Counts one retry that was made whatever the balance, as it was paid for elsewhere.
    pub fn charge(&mut self, now: Instant) {
        self.current(now).withdrawn += UNITS_PER_RETRY;
    }

    fn deposited(&self) -> u64 {
        self.slices.iter().map(|slice| slice.deposited).sum()
    }

    /// Units that may still be withdrawn.
    fn balance(&self) -> u64 {
        let reserve = f64::from(self.settings.min_per_second) * self.settings.ttl.as_secs_f64();
        let reserve = (reserve * UNITS_PER_RETRY as f64) as u64;
        let deposited = self.deposited();
        let withdrawn: u64 = self.slices.iter().map(|slice| slice.withdrawn).sum();
        (reserve + deposited).saturating_sub(withdrawn)
    }

    /// The slice of `now`, after those that are too old were dropped.
    fn current(&mut self, now: Instant) -> &mut Slice {
        let ttl = self.settings.ttl;
        let length = ttl / SLICES;
        self.slices
            .retain(|slice| now.saturating_duration_since(slice.start) < ttl);
        let open = self
            .slices
            .back()
            .is_some_and(|slice| now.saturating_duration_since(slice.start) < length);
        if !open {
            self.slices.push_back(Slice {
                start: now,
                deposited: 0,
                withdrawn: 0,
            });
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }
}
