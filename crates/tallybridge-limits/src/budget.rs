//! Retry budget of one destination.
//!
//! Each first attempt deposits a fraction of a retry and each retry withdraws one. Both are
//! recorded when the attempt is sent and expire after the time to live. Within any period of one time
//! to live, the retries are at most a ratio of the first attempts plus a minimum rate. This bounds the
//! load that retries add while every attempt fails.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of slices that the time to live is divided into. Deposits expire slice by slice.
const SLICES_PER_TTL: u32 = 10;
/// Fixed-point scale of deposits and withdrawals.
const UNITS_PER_RETRY: u64 = 1000;

/// Settings of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed for each first attempt, 0 to 1.
    pub ratio: f64,
    /// Retries allowed each second regardless of first attempts, for destinations with few calls.
    pub min_per_second: u32,
    /// Time to live of deposits and withdrawals.
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

/// Deposits and withdrawals of one slice of time, in units of `1 / UNITS_PER_RETRY` of a retry.
#[derive(Debug, Clone, Copy)]
struct Slice {
    start: Instant,
    deposited: u64,
    withdrawn: u64,
}

/// Retry budget of one destination, modelled on Finagle's `RetryBudget`.
///
/// Within any period of length `ttl`, the retries are at most `ratio` of the first attempts plus
/// `min_per_second` for each second. Every operation takes constant time.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: BudgetSettings,
    /// Added to the deposits before they are rounded down to whole retries; less than
    /// [`UNITS_PER_RETRY`].
    rounding: u64,
    slices: VecDeque<Slice>,
}

impl Budget {
    /// Creates a budget without deposits.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        Self::with_rounding(settings, 0.0)
    }

    /// Creates a budget without deposits that adds `rounding`, a fraction of a retry between 0 and 1, to
    /// its deposits before it rounds them down to whole retries.
    ///
    /// Many budgets with random fractions together allow as many retries as one budget with all their
    /// deposits would. With a fraction of 0, budgets with few deposits never allow any.
    #[must_use]
    pub fn with_rounding(settings: BudgetSettings, rounding: f64) -> Self {
        let units = (rounding * UNITS_PER_RETRY as f64) as u64;
        Self {
            settings,
            rounding: units.min(UNITS_PER_RETRY - 1),
            slices: VecDeque::new(),
        }
    }

    /// Records a first attempt.
    pub fn deposit(&mut self, now: Instant) {
        let units = (self.settings.ratio.clamp(0.0, 1.0) * UNITS_PER_RETRY as f64).round() as u64;
        self.current_slice(now).deposited += units;
    }

    /// Withdraws one retry. Returns `false` if the budget is exhausted.
    #[must_use = "a retry may be sent only if the withdrawal succeeded"]
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.withdraw_above(0.0, now)
    }

    /// Withdraws one retry if the remaining budget is at least `reserved_ratio` (0 to 1) of all deposits.
    /// Returns `false` otherwise.
    #[must_use = "a retry may be sent only if the withdrawal succeeded"]
    pub fn withdraw_above(&mut self, reserved_ratio: f64, now: Instant) -> bool {
        self.current_slice(now);
        let reserved = (self.deposited() as f64 * reserved_ratio.clamp(0.0, 1.0)) as u64;
        if self.balance() < UNITS_PER_RETRY + reserved {
            return false;
        }
        self.charge(now);
        true
    }

    /// Records a retry that another budget paid for, regardless of this budget's balance.
    pub fn charge(&mut self, now: Instant) {
        self.current_slice(now).withdrawn += UNITS_PER_RETRY;
    }

    fn deposited(&self) -> u64 {
        self.slices.iter().map(|slice| slice.deposited).sum()
    }

    /// Returns the units that may still be withdrawn.
    fn balance(&self) -> u64 {
        let minimum = f64::from(self.settings.min_per_second) * self.settings.ttl.as_secs_f64();
        let minimum = (minimum * UNITS_PER_RETRY as f64) as u64;
        let deposited = self.deposited();
        let withdrawn: u64 = self.slices.iter().map(|slice| slice.withdrawn).sum();
        (minimum + deposited + self.rounding).saturating_sub(withdrawn)
    }

    /// Drops expired slices and returns the slice of `now`.
    fn current_slice(&mut self, now: Instant) -> &mut Slice {
        let ttl = self.settings.ttl;
        let slice_duration = ttl / SLICES_PER_TTL;
        self.slices
            .retain(|slice| now.saturating_duration_since(slice.start) < ttl);
        let has_current = self
            .slices
            .back()
            .is_some_and(|slice| now.saturating_duration_since(slice.start) < slice_duration);
        if !has_current {
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
