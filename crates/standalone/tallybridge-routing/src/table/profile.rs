//! Typical values among the endpoints of a service, against which each endpoint is compared.

use std::time::Duration;

use crate::{
    RoutingSettings,
    endpoint::{latency::LatencyEstimate, load::DEFAULT_LIMIT, row::EndpointRow},
};

/// Bounds how fast the latency allowance falls after the service recovers.
const LATENCY_ALLOWANCE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Typical values among the endpoints of one service. They are medians, so that a few endpoints
/// that stall or report false loads do not move them.
#[derive(Debug, Clone, Copy)]
pub struct ServiceProfile {
    /// Median of the endpoints' mean latencies in seconds, or `None` until one is reliable. With an
    /// even number of endpoints, it is the lower of the two middle values.
    pub typical_latency: Option<f64>,
    /// Typical latency in seconds, except that it falls by at most half per half-life. Attempts
    /// that started while the service was slow are therefore not overdue as soon as it recovers.
    pub latency_allowance: Option<f64>,
    /// Median of the reported limits, in calls.
    pub median_limit: f64,
    /// Median of the utilisation by calls of other nodes.
    pub median_others_utilisation: f64,
    /// Largest ramp share among the endpoints. The ramp share of each endpoint applies relative to
    /// it.
    pub max_ramp_share: f64,
}

impl Default for ServiceProfile {
    fn default() -> Self {
        Self {
            typical_latency: None,
            latency_allowance: None,
            median_limit: DEFAULT_LIMIT,
            median_others_utilisation: 0.0,
            max_ramp_share: 1.0,
        }
    }
}

impl ServiceProfile {
    /// Computes the profile from the rows. A value that no row provides stays as in `previous`.
    /// `elapsed` is the time since the previous profile.
    #[must_use]
    pub fn from_rows(
        rows: &[EndpointRow],
        previous: &Self,
        max_ramp_share: f64,
        elapsed: Duration,
    ) -> Self {
        let members = || rows.iter().filter(|row| row.is_member);
        let estimates = || members().filter_map(|row| row.latency);
        let settled = estimates().filter(LatencyEstimate::is_settled);
        let typical_latency =
            lower_median(settled.map(|estimate| estimate.mean())).or(previous.typical_latency);
        let remaining =
            (-(elapsed.as_secs_f64() / LATENCY_ALLOWANCE_HALF_LIFE.as_secs_f64())).exp2();
        let latency_allowance = previous
            .latency_allowance
            .map(|allowance| allowance * remaining);
        let limits = members().filter_map(|row| row.load?.limit());
        let others = members().filter_map(|row| Some(row.load?.others_utilisation()));
        Self {
            typical_latency,
            latency_allowance: typical_latency.map(|typical| {
                latency_allowance.map_or(typical, |allowance| allowance.max(typical))
            }),
            median_limit: lower_median(limits).unwrap_or(previous.median_limit),
            median_others_utilisation: lower_median(others)
                .unwrap_or(previous.median_others_utilisation),
            max_ramp_share,
        }
    }

    /// Returns the age at which an attempt is overdue, or `None` until a typical latency is known.
    #[must_use]
    pub fn overdue_after(&self, settings: &RoutingSettings) -> Option<Duration> {
        let allowance = Duration::try_from_secs_f64(self.latency_allowance?).ok()?;
        let overdue = allowance.mul_f64(settings.overdue_factor);
        Some(overdue.max(settings.overdue_minimum))
    }

    /// Returns whether the answer to a probe was too slow to count as a success.
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
