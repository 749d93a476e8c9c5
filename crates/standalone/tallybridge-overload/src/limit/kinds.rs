//! Relative latencies of the kinds of calls.

use std::collections::BTreeMap;

use super::window::KindTotal;

/// The number of samples in a window that count as much as the previous weight of a kind.
const WEIGHT_MEMORY_SAMPLES: f64 = 100.0;

/// The latency of each kind of call relative to the others.
///
/// Normalizing latencies by these weights keeps a change in the mix of slow and fast kinds from
/// looking like a change in load. Each update uses the totals of a single window, in which all kinds
/// see the same load, so a uniform slowdown of the back end does not change the weights.
#[derive(Debug, Clone, Default)]
pub(super) struct KindWeights {
    weights: BTreeMap<u16, f64>,
}

impl KindWeights {
    /// Returns the mean latency of a window in seconds, scaled to weight one, or `None` without
    /// samples.
    ///
    /// Ignores kinds without a weight, unless no kind of the window has one.
    pub(super) fn normalized_latency(&self, totals: &BTreeMap<u16, KindTotal>) -> Option<f64> {
        let mut seconds = 0.0;
        let mut weight = 0.0;
        for (kind, total) in totals {
            let Some(kind_weight) = self.weights.get(kind) else {
                continue;
            };
            seconds += total.seconds;
            weight += total.count * kind_weight;
        }
        if weight > 0.0 {
            return Some(seconds / weight);
        }
        unweighted_mean(totals)
    }

    pub(super) fn weight(&self, kind: u16) -> Option<f64> {
        self.weights.get(&kind).copied()
    }

    /// Updates the weights from a window with a normalized latency of `latency` seconds.
    pub(super) fn update(&mut self, totals: &BTreeMap<u16, KindTotal>, latency: f64) {
        if latency <= 0.0 {
            return;
        }
        for (kind, total) in totals {
            let observed = total.seconds / total.count / latency;
            let weight = self.weights.entry(*kind).or_insert(observed);
            let gain = total.count / (total.count + WEIGHT_MEMORY_SAMPLES);
            *weight += gain * (observed - *weight);
        }
    }
}

fn unweighted_mean(totals: &BTreeMap<u16, KindTotal>) -> Option<f64> {
    let seconds: f64 = totals.values().map(|total| total.seconds).sum();
    let count: f64 = totals.values().map(|total| total.count).sum();
    (count > 0.0).then(|| seconds / count)
}
