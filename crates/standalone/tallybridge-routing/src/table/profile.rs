//! What is usual among the endpoints of a service, to judge one of them by.

use std::time::Duration;

use crate::{
    RoutingSettings,
    endpoint::{latency::LatencyEstimate, load::DEFAULT_LIMIT, row::EndpointRow},
};

/// Time in which the patience with attempts falls by half at most.
const PATIENCE_HALF_LIFE: Duration = Duration::from_secs(1);

/// What is usual among the endpoints of one service. Medians, so that a few which stall or lie
/// don't move it.
#[derive(Debug, Clone, Copy)]
pub struct ServiceProfile {
    /// Median of the endpoints' mean latencies (the lower one of two), seconds.
    pub typical_latency: Option<f64>,
    /// The same, but it falls no faster than by half in each half-life: attempts that began while the
    /// service was slow are not judged by what is typical since it recovered.
    pub patience: Option<f64>,
    /// Median of the reported limits.
    pub median_limit: f64,
    /// Median of other routers' calls in flight, in limits.
    pub usual_others: f64,
    /// Greatest ramp share, which the others' are relative to.
    pub greatest_share: f64,
}

impl Default for ServiceProfile {
    fn default() -> Self {
        Self {
            typical_latency: None,
            patience: None,
            median_limit: DEFAULT_LIMIT,
            usual_others: 0.0,
            greatest_share: 1.0,
        }
    }
}

impl ServiceProfile {
    /// Works the profile out from the rows; what no row knows stays as it was. `elapsed` is the time
    /// since the previous profile.
    #[must_use]
    pub fn of_rows(
        rows: &[EndpointRow],
        previous: &Self,
        greatest_share: f64,
        elapsed: Duration,
    ) -> Self {
        let members = || rows.iter().filter(|row| row.is_member);
        let estimates = || members().filter_map(|row| row.latency);
        let settled = estimates().filter(LatencyEstimate::is_settled);
        let typical_latency =
            lower_median(settled.map(|estimate| estimate.mean())).or(previous.typical_latency);
        let rest = (-(elapsed.as_secs_f64() / PATIENCE_HALF_LIFE.as_secs_f64())).exp2();
        let patience = previous.patience.map(|patience| patience * rest);
        let limits = members().filter_map(|row| row.load?.limit());
        let others = members().filter_map(|row| Some(row.load?.others_utilisation()));
        Self {
            typical_latency,
            patience: typical_latency.map(|typical| patience.map_or(typical, |p| p.max(typical))),
            median_limit: lower_median(limits).unwrap_or(previous.median_limit),
            usual_others: lower_median(others).unwrap_or(previous.usual_others),
            greatest_share,
        }
    }

    /// Time after which an attempt is overdue, once a latency is known.
    #[must_use]
    pub fn overdue_after(&self, settings: &RoutingSettings) -> Option<Duration> {
        let typical = Duration::try_from_secs_f64(self.patience?).ok()?;
        let overdue = typical.mul_f64(settings.overdue_factor);
        Some(overdue.max(settings.overdue_minimum))
    }

    /// Whether a probe's answer took too long to speak for the endpoint.
    #[must_use]
    pub fn is_slow_for_probe(&self, latency: Duration, settings: &RoutingSettings) -> bool {
        self.typical_latency.is_some_and(|typical| {
            latency > settings.overdue_minimum
                && latency.as_secs_f64() > typical * settings.probe_factor
        })
    }
}

fn lower_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len().checked_sub(1)? / 2;
    sorted.get(middle).copied()
}
