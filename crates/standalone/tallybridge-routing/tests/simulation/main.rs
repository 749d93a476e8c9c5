//! Seeded simulation of a service with one or four endpoints in each of three zones.
//!
//! Several entry nodes receive uneven traffic, and each has its own endpoint table.

mod world;

use std::time::Duration;

use world::{Behaviour, SERVICE_TIME, World};

const SEED: u64 = 11;
/// Zone and share of the traffic of each entry node. The first zone receives 0.6 of the traffic,
/// the last one 0.1.
const UNEVEN_ENTRIES: [(usize, f64); 6] = [
    (0, 0.35),
    (0, 0.25),
    (1, 0.2),
    (1, 0.1),
    (2, 0.07),
    (2, 0.03),
];
/// Offered load, as a share of the capacity of all endpoints.
const RELATIVE_LOAD: f64 = 0.8;
const WARM_UP: Duration = Duration::from_secs(3);
/// Number of typical latencies after which a faulty endpoint must have lost its traffic.
const DETECTION_LATENCIES: u32 = 12;
/// Window over which the share of a faulty endpoint is measured. It is about as long as an
/// ejection, which ends with a probe from each entry node.
const SHARE_WINDOW: Duration = Duration::from_secs(1);
const MAX_FAULTY_SHARE: f64 = 0.02;

fn max_to_mean_utilisation(world: &World) -> f64 {
    let utilisations = world.utilisations(WARM_UP);
    let mean = utilisations.iter().sum::<f64>() / utilisations.len() as f64;
    let max_utilisation = utilisations.iter().copied().fold(0.0, f64::max);
    println!(
        "utilisations {utilisations:.3?}, max/mean {:.3}",
        max_utilisation / mean
    );
    max_utilisation / mean
}

fn assert_even_utilisation(per_zone: usize, max_ratio: f64) {
    let mut world = World::new(per_zone, &UNEVEN_ENTRIES, RELATIVE_LOAD, SEED);
    world.run(Duration::from_secs(13));
    assert!(max_to_mean_utilisation(&world) < max_ratio);
}

#[test]
fn balances_twelve_endpoints_under_uneven_traffic() {
    assert_even_utilisation(4, 1.10);
}

#[test]
fn balances_one_endpoint_per_zone() {
    assert_even_utilisation(1, 1.10);
}

#[test]
fn calls_stay_in_their_zone_at_low_load() {
    let mut world = World::new(1, &[(0, 0.5), (1, 0.5)], 0.2, SEED);
    world.run(Duration::from_secs(5));
    let share_without_entries = world.choice_share(2, WARM_UP, Duration::from_secs(5));
    println!("share of the zone without entry nodes: {share_without_entries:.4}");
    assert!(
        share_without_entries < 0.01,
        "the zone without entry nodes got a share of {share_without_entries}"
    );
}

/// Makes one endpoint faulty for five seconds. Its share of the traffic must fall soon, stay low, and
/// recover afterwards.
fn assert_loses_and_regains_traffic(per_zone: usize, fault: Behaviour) {
    let fault_start = Duration::from_secs(3);
    let fault_end = fault_start + Duration::from_secs(5);
    // Allows for the longest ejection in progress and the ramp after it.
    let recovered = fault_end + Duration::from_secs(4 + 6);
    let run_end = recovered + Duration::from_secs(3);
    let mut world = World::new(per_zone, &UNEVEN_ENTRIES, 0.6, SEED);
    world.schedule_behaviour(fault_start, 0, fault);
    world.schedule_behaviour(fault_end, 0, Behaviour::Healthy);
    world.run(run_end);

    let even_share = 1.0 / (3 * per_zone) as f64;
    let before = world.choice_share(0, Duration::from_secs(1), fault_start);
    let detected_by = fault_start + SERVICE_TIME * DETECTION_LATENCIES;
    let during = world.choice_share(0, detected_by, fault_end);
    let after = world.choice_share(0, recovered, run_end);
    println!(
        "{fault:?}, {per_zone} per zone: before {before:.4}, during {during:.4}, after {after:.4}"
    );
    assert!(
        before > 0.7 * even_share,
        "share before the fault is too low: {before}"
    );
    let windows: Vec<f64> = (0..)
        .map(|number| detected_by + SHARE_WINDOW * number)
        .take_while(|from| *from + SHARE_WINDOW <= fault_end)
        .map(|from| world.choice_share(0, from, from + SHARE_WINDOW))
        .collect();
    println!("  share by window: {windows:.4?}");
    let max_share = windows.iter().copied().fold(0.0, f64::max);
    assert!(
        max_share < MAX_FAULTY_SHARE,
        "share during the fault is too high: {max_share}"
    );
    assert!(
        after > 0.7 * even_share,
        "share after recovery is too low: {after}"
    );
}

macro_rules! faulty_endpoint_tests {
    ($($name:ident: $behaviour:expr;)*) => {
        $(
            #[test]
            fn $name() {
                assert_loses_and_regains_traffic(4, $behaviour);
                assert_loses_and_regains_traffic(1, $behaviour);
            }
        )*
    };
}

faulty_endpoint_tests! {
    stalled_endpoint_loses_its_traffic: Behaviour::Stalled;
    half_answering_endpoint_loses_its_traffic: Behaviour::DropsEverySecond;
    slow_misreporting_endpoint_loses_its_traffic: Behaviour::SlowMisreporting(10.0);
    fast_failing_endpoint_loses_its_traffic: Behaviour::FailsFast;
    fast_refusing_endpoint_loses_its_traffic: Behaviour::RefusesFast;
}

#[test]
fn slow_endpoint_loses_traffic_before_attempts_are_overdue() {
    assert_loses_and_regains_traffic(4, Behaviour::SlowMisreporting(5.0));
}

/// Makes all endpoints faulty for three seconds. Calls must be answered again soon afterwards.
fn assert_service_recovers(per_zone: usize, fault: Behaviour) {
    let fault_start = Duration::from_secs(3);
    let fault_end = fault_start + Duration::from_secs(3);
    let recovered = fault_end + Duration::from_secs(2);
    let run_end = recovered + Duration::from_secs(2);
    let mut world = World::new(per_zone, &UNEVEN_ENTRIES, RELATIVE_LOAD, SEED);
    for endpoint in 0..3 * per_zone {
        world.schedule_behaviour(fault_start, endpoint, fault);
        world.schedule_behaviour(fault_end, endpoint, Behaviour::Healthy);
    }
    world.run(run_end);
    let during = world.answered_share(fault_start, fault_end);
    let after = world.answered_share(recovered, run_end);
    println!(
        "all endpoints {fault:?}, {per_zone} per zone: answered {during:.3} during, {after:.3} after"
    );
    assert!(
        after > 0.95,
        "{fault:?}: share of answered calls after recovery is too low: {after}"
    );
}

#[test]
fn service_recovers_after_all_endpoints_were_slow() {
    assert_service_recovers(4, Behaviour::Slow(10.0));
    assert_service_recovers(1, Behaviour::Slow(10.0));
}

#[test]
fn service_recovers_after_all_endpoints_stalled() {
    assert_service_recovers(4, Behaviour::Stalled);
    assert_service_recovers(1, Behaviour::Stalled);
}
