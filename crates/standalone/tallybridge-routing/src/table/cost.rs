//! What one more call at an endpoint is expected to cost, in typical latencies of its service.

use std::time::Instant;

use super::profile::ServiceProfile;
use crate::{Proximity, RoutingSettings, endpoint::row::EndpointRow};

/// Power of the utilisation that waiting grows with: next to nothing at half load, one typical
/// latency where the limit is reached. So nearness decides at low load and evenness at high load.
const WAIT_POWER: i32 = 8;
/// Rise of the cost with the ratio of latencies beyond the tolerated one, so that the cost soon is
/// that ratio although a smaller one counts as noise.
const LATENCY_SLOPE: f64 = 2.0;
/// Greatest unserved share that counts, so that the cost stays finite.
const GREATEST_UNSERVED: f64 = 0.95;

/// Expected cost of one more call.
#[must_use]
pub fn of_row(
    row: &EndpointRow,
    profile: &ServiceProfile,
    settings: &RoutingSettings,
    now: Instant,
) -> f64 {
    let wait = wait(row.utilisation(profile, settings, now));
    let latency = latency_factor(row, profile, settings, now);
    let overdue = overdue_factor(row, profile, settings, now);
    let unserved = row.unserved.get(settings.unserved_half_life, now);
    let attempts = 1.0 / (1.0 - unserved.min(GREATEST_UNSERVED));
    (1.0 + wait) * latency * overdue * attempts + hop(row, profile, settings)
}

/// Expected waiting. Above the limit a call waits about one latency for each limit's worth of calls
/// before it; a steeper rise would make an endpoint that serves nothing look better than a queue.
fn wait(utilisation: f64) -> f64 {
    if utilisation <= 1.0 {
        utilisation.powi(WAIT_POWER)
    } else {
        utilisation
    }
}

/// How much slower than is typical the endpoint is; faster gives no bonus, since failing is fast.
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

/// Attempts that are overdue count before they fail.
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
    let in_flight = row.outstanding.count_from(row.health.judged_from());
    1.0 + settings.overdue_factor * overdue as f64 / in_flight as f64
}

fn hop(row: &EndpointRow, profile: &ServiceProfile, settings: &RoutingSettings) -> f64 {
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
