//! Added latency: the way through an entry against the way straight to the back end.

use hdrhistogram::Histogram;

use crate::load::{ProbeRecord, ProbeRoute};

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Digits kept of each latency.
const DIGITS: u8 = 3;

/// Latencies of both ways, in microseconds.
#[derive(Debug, Clone)]
pub struct AddedLatency {
    direct: Histogram<u64>,
    through: Histogram<u64>,
}

impl Default for AddedLatency {
    fn default() -> Self {
        Self {
            direct: new_histogram(),
            through: new_histogram(),
        }
    }
}

/// A histogram of latencies in microseconds.
#[must_use]
pub fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS).expect("the bounds are constants")
}

impl AddedLatency {
    /// Adds the probes of one run that were sent before the strain began.
    pub fn add(&mut self, probes: &[ProbeRecord], until_us: u64) {
        for probe in probes.iter().filter(|probe| probe.offset_us < until_us) {
            let histogram = match probe.route {
                ProbeRoute::Direct => &mut self.direct,
                ProbeRoute::Through => &mut self.through,
            };
            histogram.saturating_record(probe.latency_us);
        }
    }

    /// Difference of the two ways at a quantile, in milliseconds; absent without probes.
    #[must_use]
    pub fn at_quantile_ms(&self, quantile: f64) -> Option<f64> {
        if self.direct.is_empty() || self.through.is_empty() {
            return None;
        }
        let through = self.through.value_at_quantile(quantile) as f64;
        let direct = self.direct.value_at_quantile(quantile) as f64;
        Some((through - direct) / 1_000.0)
    }
}
