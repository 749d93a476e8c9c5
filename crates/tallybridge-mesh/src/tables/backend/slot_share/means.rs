//! Mean times of calls, by kind.

use std::collections::BTreeMap;

/// Samples of a kind from which it is compared. Origin not recorded.
const COMPARABLE: f64 = 8.0;
/// Samples of a kind at which the weight of all so far is halved. Origin not recorded.
const REMEMBERED: f64 = 256.0;

#[derive(Debug, Clone, Copy, Default)]
struct Total {
    count: f64,
    seconds: f64,
}

/// Mean times by kind of call, in seconds: kinds differ far more among themselves than one does with load.
#[derive(Debug, Clone, Default)]
pub(super) struct KindMeans {
    totals: BTreeMap<u16, Total>,
    count: u32,
}

impl KindMeans {
    /// Counts a call of a kind.
    pub(super) fn add(&mut self, kind: u16, seconds: f64) {
        let total = self.totals.entry(kind).or_default();
        if total.count >= REMEMBERED {
            total.count /= 2.0;
            total.seconds /= 2.0;
        }
        total.count += 1.0;
        total.seconds += seconds;
        self.count = self.count.saturating_add(1);
    }

    /// Calls that were counted.
    pub(super) const fn count(&self) -> u32 {
        self.count
    }

    /// How many times as long these calls take as others of the same kinds; `None` without enough
    /// calls of a kind in common.
    pub(super) fn relative_to(&self, others: &Self) -> Option<f64> {
        let mut seconds = 0.0;
        let mut expected = 0.0;
        for (kind, total) in &self.totals {
            let Some(other) = others.totals.get(kind) else {
                continue;
            };
            if total.count >= COMPARABLE && other.count >= COMPARABLE {
                seconds += total.seconds;
                expected += total.count * other.seconds / other.count;
            }
        }
        (expected > 0.0).then(|| seconds / expected)
    }
}
