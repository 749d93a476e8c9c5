//! Smoothed latency of one endpoint.
//!
//! The estimate is a peak-sensitive moving average as in Finagle's `PeakEwma` load balancer: it
//! rises faster than it falls. Unlike `PeakEwma`, each sample below the average also lowers it. If
//! only time lowered it, an endpoint with variable latencies would look slower the more calls it
//! gets.

use std::time::{Duration, Instant};

/// Weight of a sample above the peak-sensitive average.
const RISE_WEIGHT: f64 = 0.3;
/// Weight of a sample below the peak-sensitive average.
const FALL_WEIGHT: f64 = 0.1;
/// Minimum weight of a sample in the mean. The first samples weigh as in an arithmetic mean.
const MIN_MEAN_WEIGHT: f64 = 0.05;
/// Number of samples from which the mean is reliable.
const MIN_SETTLED_SAMPLES: u32 = 8;

/// Value to which a high latency decays, and the speed of the decay.
#[derive(Debug, Clone, Copy)]
pub struct Baseline {
    /// Typical latency of the service, in seconds.
    pub typical: f64,
    /// Time constant of the exponential decay.
    pub time_constant: Duration,
}

/// Latency of one endpoint as this node observes it, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimate {
    peak: f64,
    mean: f64,
    samples: u32,
    updated: Instant,
}

impl LatencyEstimate {
    /// Creates the estimate from a first sample.
    #[must_use]
    pub fn new(sample: Duration, now: Instant) -> Self {
        let sample = sample.as_secs_f64();
        Self {
            peak: sample,
            mean: sample,
            samples: 1,
            updated: now,
        }
    }

    /// Adds a sample. The peak-sensitive average counts it as at most `max_seconds`.
    pub fn record(&mut self, sample: Duration, max_seconds: f64, baseline: Baseline, now: Instant) {
        let sample = sample.as_secs_f64();
        let bounded = sample.min(max_seconds);
        let peak = self.peak(baseline, now);
        let weight = if bounded > peak {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.peak = peak + (bounded - peak) * weight;
        self.samples = self.samples.saturating_add(1);
        let weight = f64::from(self.samples).recip().max(MIN_MEAN_WEIGHT);
        self.mean += (sample - self.mean) * weight;
        self.updated = now;
    }

    /// Returns the peak-sensitive average in seconds.
    ///
    /// It decays towards the typical latency of the service, so that an endpoint that lost its
    /// traffic is tried again.
    #[must_use]
    pub fn peak(&self, baseline: Baseline, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let remaining = (-age / baseline.time_constant.as_secs_f64()).exp();
        let floor = baseline.typical.min(self.peak);
        floor + (self.peak - floor) * remaining
    }

    /// Returns whether there are enough samples for a reliable mean.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.samples >= MIN_SETTLED_SAMPLES
    }

    /// Returns the moving mean in seconds.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
