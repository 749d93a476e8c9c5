//! Expected cost of one more call at an endpoint, in typical latencies of its service.

use std::time::Instant;

use super::profile::ServiceProfile;
use crate::{Proximity, RoutingSettings, endpoint::row::EndpointRow};

/// A high exponent makes the wait negligible at half load, while it is one typical latency at the
/// limit. Proximity therefore decides at low load, and even utilisation at high load.
const WAIT_EXPONENT: i32 = 8;
/// Slope of the latency factor beyond the tolerated ratio. The slope exceeds 1, so that the factor
/// catches up with the ratio itself.
const LATENCY_SLOPE: f64 = 2.0;
/// Largest unserved share that counts, which keeps the cost finite.
const MAX_UNSERVED_SHARE: f64 = 0.95;

/// Returns the expected cost of one more call, in typical latencies of the service.
#[must_use]
pub fn expected_cost(
    row: &EndpointRow,
    profile: &ServiceProfile,
    settings: &RoutingSettings,
    now: Instant,
) -> f64 {
    let wait = expected_wait(row.utilisation(profile, settings, now));
    let latency = latency_factor(row, profile, settings, now);
    let overdue = overdue_factor(row, profile, settings, now);
    let unserved = row.unserved.get(settings.unserved_half_life, now);
    let expected_attempts = 1.0 / (1.0 - unserved.min(MAX_UNSERVED_SHARE));
    (1.0 + wait) * latency * overdue * expected_attempts + hop_cost(row, profile, settings)
}

/// Returns the expected wait in typical latencies. Above the limit the wait grows only linearly:
/// with a steeper rise, an endpoint that serves nothing would look cheaper than one with a queue.
fn expected_wait(utilisation: f64) -> f64 {
    if utilisation <= 1.0 {
        utilisation.powi(WAIT_EXPONENT)
    } else {
        utilisation
    }
}

/// An endpoint that is faster than typical gets no bonus, because failures are often fast.
fn latency_factor(
    row: &EndpointRow,
    profile: &ServiceProfile,
    settings: &RoutingSettings,
    now: Instant,
) -> f64 {
    let peak = row.peak_latency(profile, settings, now);
    peak.zip(profile.typical_latency)
        .map_or(1.0, |(peak, typical)| {
            let excess = peak / typical - settings.latency_tolerance;
            1.0 + LATENCY_SLOPE * excess.max(0.0)
        })
}

/// Raises the cost of an endpoint with overdue attempts before they time out.
fn overdue_factor(
    row: &EndpointRow,
    profile: &ServiceProfile,
    settings: &RoutingSettings,
    now: Instant,
) -> f64 {
    let overdue = row.overdue(profile, settings, now);
    if overdue == 0 {
        return 1.0;
    }
    let in_flight = row.outstanding.count_since(row.health.assessed_since());
    1.0 + settings.overdue_factor * overdue as f64 / in_flight as f64
}

fn hop_cost(row: &EndpointRow, profile: &ServiceProfile, settings: &RoutingSettings) -> f64 {
    if row.proximity == Proximity::SameZone {
        return 0.0;
    }
    let zone_hop = settings.zone_hop.as_secs_f64();
    profile
        .typical_latency
        .map_or(settings.zone_hop_weight_limit, |typical| {
            (zone_hop / typical).min(settings.zone_hop_weight_limit)
        })
}
