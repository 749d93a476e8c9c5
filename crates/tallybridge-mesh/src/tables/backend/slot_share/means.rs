//! Mean times of calls by kind.

use std::collections::BTreeMap;

/// Number of calls of a kind from which its mean is compared.
const MIN_COMPARABLE_CALLS: f64 = 8.0;
/// Number of calls of a kind at which the weight of its earlier calls is halved.
const MAX_CALLS_PER_KIND: f64 = 256.0;

#[derive(Debug, Clone, Copy, Default)]
struct Total {
    calls: f64,
    seconds: f64,
}

/// Mean times of calls by kind, because times differ more between kinds than between loads.
#[derive(Debug, Clone, Default)]
pub(super) struct MeanTimesByKind {
    totals: BTreeMap<u16, Total>,
    count: u32,
}

impl MeanTimesByKind {
    pub(super) fn record(&mut self, kind: u16, seconds: f64) {
        let total = self.totals.entry(kind).or_default();
        if total.calls >= MAX_CALLS_PER_KIND {
            total.calls /= 2.0;
            total.seconds /= 2.0;
        }
        total.calls += 1.0;
        total.seconds += seconds;
        self.count = self.count.saturating_add(1);
    }

    /// Returns the number of recorded calls of all kinds.
    pub(super) const fn count(&self) -> u32 {
        self.count
    }

    /// Returns the time of these calls divided by the time that calls of the same kinds take in
    /// `reference`, or `None` if no kind has enough calls on each side.
    pub(super) fn ratio_to(&self, reference: &Self) -> Option<f64> {
        let mut seconds = 0.0;
        let mut reference_seconds = 0.0;
        for (kind, total) in &self.totals {
            let Some(reference_total) = reference.totals.get(kind) else {
                continue;
            };
            if total.calls >= MIN_COMPARABLE_CALLS && reference_total.calls >= MIN_COMPARABLE_CALLS
            {
                seconds += total.seconds;
                reference_seconds += total.calls * reference_total.seconds / reference_total.calls;
            }
        }
        (reference_seconds > 0.0).then(|| seconds / reference_seconds)
    }
}
