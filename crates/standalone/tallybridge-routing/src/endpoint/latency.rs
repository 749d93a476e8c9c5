//! Smoothed latency of one endpoint.
//!
//! A peak-sensitive moving average after Finagle's `PeakEwma` load balancer: it follows a rise faster
//! than a fall. Unlike there the fall goes by samples too: a fall by time alone makes an endpoint
//! look the slower, the more calls it gets, where latencies vary.

use std::time::{Duration, Instant};

/// Part of the way that one sample above the average moves it.
const RISE_WEIGHT: f64 = 0.3;
/// Part of the way that one sample below the average moves it.
const FALL_WEIGHT: f64 = 0.1;
/// Least weight of a new sample in the mean; the first ones weigh as in a plain mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Samples from which on the mean is taken to say something.
const SETTLED_SAMPLES: u32 = 8;

/// What a latency falls back to.
#[derive(Debug, Clone, Copy)]
pub struct Baseline {
    /// Typical latency of the service, seconds.
    pub typical: f64,
    /// Time constant of the fall.
    pub decay: Duration,
}

/// Latency of one endpoint as the router sees it, seconds.
#[derive(Debug, Clone, Copy)]
pub struct LatencyEstimate {
    peak: f64,
    mean: f64,
    samples: u32,
    updated: Instant,
}

impl LatencyEstimate {
    /// The estimate after a first sample.
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

    /// Takes in a sample; `greatest` bounds what a single one counts.
    pub fn record(&mut self, sample: Duration, greatest: f64, baseline: Baseline, now: Instant) {
        let sample = sample.as_secs_f64();
        let bounded = sample.min(greatest);
        let peak = self.peak(baseline, now);
        let weight = if bounded > peak {
            RISE_WEIGHT
        } else {
            FALL_WEIGHT
        };
        self.peak = peak + (bounded - peak) * weight;
        self.samples = self.samples.saturating_add(1);
        let weight = f64::from(self.samples).recip().max(MEAN_WEIGHT);
        self.mean += (sample - self.mean) * weight;
        self.updated = now;
    }

    /// The peak-sensitive average, seconds.
    ///
    /// With time it falls towards what is typical of the service, so that an endpoint which lost its
    /// traffic is tried again.
    #[must_use]
    pub fn peak(&self, baseline: Baseline, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let rest = (-age / baseline.decay.as_secs_f64()).exp();
        let floor = baseline.typical.min(self.peak);
        floor + (self.peak - floor) * rest
    }

    /// Whether there are enough samples for the mean to say something.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.samples >= SETTLED_SAMPLES
    }

    /// The mean, seconds.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }
}
