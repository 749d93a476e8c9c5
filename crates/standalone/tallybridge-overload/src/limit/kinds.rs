//! How long each kind of call naturally takes, relative to the others.

use std::collections::BTreeMap;

use super::window::KindTotal;

/// Samples that weigh as much as all that was known of a kind before.
const MEMORY_SAMPLES: f64 = 100.0;

/// Relative latency of each kind of call.
///
/// A change in the mix of slow and fast kinds must not look like a change in load, so a window's
/// latencies are divided by what their kinds take relative to the others. The weights are updated
/// from totals of one window, in which all kinds met the same load: a back end that slows down as
/// a whole leaves them as they are.
#[derive(Debug, Clone, Default)]
pub(super) struct KindWeights {
    weights: BTreeMap<u16, f64>,
}

impl KindWeights {
    /// The mean latency (seconds) of a window for a kind of weight one; `None` without samples.
    ///
    /// Kinds that were not seen before count only when no kind is known.
    pub(super) fn level(&self, totals: &BTreeMap<u16, KindTotal>) -> Option<f64> {
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
        plain_mean(totals)
    }

    /// The latency of `kind` relative to the others, if known.
    pub(super) fn weight(&self, kind: u16) -> Option<f64> {
        self.weights.get(&kind).copied()
    }

    /// Learns from a window whose level was `level` seconds.
    pub(super) fn learn(&mut self, totals: &BTreeMap<u16, KindTotal>, level: f64) {
        if level <= 0.0 {
            return;
        }
        for (kind, total) in totals {
            let observed = total.seconds / total.count / level;
            let weight = self.weights.entry(*kind).or_insert(observed);
            let gain = total.count / (total.count + MEMORY_SAMPLES);
            *weight += gain * (observed - *weight);
        }
    }
}

/// The mean latency (seconds) over all kinds.
fn plain_mean(totals: &BTreeMap<u16, KindTotal>) -> Option<f64> {
    let seconds: f64 = totals.values().map(|total| total.seconds).sum();
    let count: f64 = totals.values().map(|total| total.count).sum();
    (count > 0.0).then(|| seconds / count)
}
