//! Seeded simulation of a service with twelve endpoints (or three) in three zones and several entry
//! nodes, each with a table of its own, at 0.8 of capacity and uneven entry traffic.

mod world;

use std::time::Duration;

use world::{Behaviour, SERVICE_TIME, World};

const SEED: u64 = 11;
/// Zone and share of the traffic of each entry node: 0.6 of it enters in the first zone, 0.1 in the
/// last.
const UNEVEN_ENTRIES: [(usize, f64); 6] = [
    (0, 0.35),
    (0, 0.25),
    (1, 0.2),
    (1, 0.1),
    (2, 0.07),
    (2, 0.03),
];
const LOAD: f64 = 0.8;
const WARM: Duration = Duration::from_secs(3);
/// Typical latencies after which a bad endpoint's share of new traffic must have fallen.
const DETECTION: u32 = 12;
/// Span over which that share is taken: about one ejection, which ends with a probe from each node.
const WINDOW: Duration = Duration::from_secs(1);
const FALLEN_SHARE: f64 = 0.02;

fn spread(world: &World) -> f64 {
    let utilisations = world.utilisations(WARM);
    let mean = utilisations.iter().sum::<f64>() / utilisations.len() as f64;
    let greatest = utilisations.iter().copied().fold(0.0, f64::max);
    println!(
        "utilisations {utilisations:.3?}, greatest/mean {:.3}",
        greatest / mean
    );
    greatest / mean
}

fn utilisation_is_even(per_zone: usize, bound: f64) {
    let mut world = World::new(per_zone, &UNEVEN_ENTRIES, LOAD, SEED);
    world.run(Duration::from_secs(13));
    assert!(spread(&world) < bound);
}

#[test]
fn uneven_entry_traffic_fills_twelve_endpoints_evenly() {
    utilisation_is_even(4, 1.10);
}

#[test]
fn uneven_entry_traffic_fills_one_endpoint_per_zone_evenly() {
    utilisation_is_even(1, 1.10);
}

#[test]
fn calls_stay_in_their_zone_at_low_load() {
    let mut world = World::new(1, &[(0, 0.5), (1, 0.5)], 0.2, SEED);
    world.run(Duration::from_secs(5));
    let remote = world.share(2, WARM, Duration::from_secs(5));
    println!("share of the zone without callers {remote:.4}");
    assert!(remote < 0.01, "{remote}");
}

/// The endpoint behaves badly for five seconds; its share must fall soon, stay low, and come back.
fn loses_and_wins_back(per_zone: usize, bad: Behaviour) {
    let onset = Duration::from_secs(3);
    let end = onset + Duration::from_secs(5);
    // The longest ejection that can be running, then the ramp.
    let recovered = end + Duration::from_secs(4 + 6);
    let finish = recovered + Duration::from_secs(3);
    let mut world = World::new(per_zone, &UNEVEN_ENTRIES, 0.6, SEED);
    world.behave(onset, 0, bad);
    world.behave(end, 0, Behaviour::Healthy);
    world.run(finish);

    let fair = 1.0 / (3 * per_zone) as f64;
    let before = world.share(0, Duration::from_secs(1), onset);
    let detected = onset + SERVICE_TIME * DETECTION;
    let during = world.share(0, detected, end);
    let after = world.share(0, recovered, finish);
    println!(
        "{bad:?} of {per_zone} a zone: before {before:.4}, during {during:.4}, after {after:.4}"
    );
    assert!(before > 0.7 * fair, "before {before}");
    let windows: Vec<f64> = (0..)
        .map(|number| detected + WINDOW * number)
        .take_while(|from| *from + WINDOW <= end)
        .map(|from| world.share(0, from, from + WINDOW))
        .collect();
    println!("  by window {windows:.4?}");
    let greatest = windows.iter().copied().fold(0.0, f64::max);
    assert!(greatest < FALLEN_SHARE, "during {greatest}");
    assert!(after > 0.7 * fair, "after {after}");
}

macro_rules! bad_endpoints {
    ($($name:ident: $behaviour:expr;)*) => {
        $(
            #[test]
            fn $name() {
                loses_and_wins_back(4, $behaviour);
                loses_and_wins_back(1, $behaviour);
            }
        )*
    };
}

bad_endpoints! {
    a_stalled_endpoint_loses_its_traffic: Behaviour::Stalled;
    a_half_dead_endpoint_loses_its_traffic: Behaviour::HalfDead;
    an_endpoint_that_lies_and_is_slow_loses_its_traffic: Behaviour::SlowLiar(10.0);
    an_endpoint_that_lies_and_fails_fast_loses_its_traffic: Behaviour::FailsFast;
    an_endpoint_that_lies_and_refuses_fast_loses_its_traffic: Behaviour::RefusesFast;
}

#[test]
fn a_slow_endpoint_loses_its_traffic_before_its_attempts_are_overdue() {
    loses_and_wins_back(4, Behaviour::SlowLiar(5.0));
}

/// The whole service goes bad for three seconds; its calls are answered again soon after.
fn service_comes_back(per_zone: usize, bad: Behaviour) {
    let onset = Duration::from_secs(3);
    let end = onset + Duration::from_secs(3);
    let recovered = end + Duration::from_secs(2);
    let finish = recovered + Duration::from_secs(2);
    let mut world = World::new(per_zone, &UNEVEN_ENTRIES, LOAD, SEED);
    for endpoint in 0..3 * per_zone {
        world.behave(onset, endpoint, bad);
        world.behave(end, endpoint, Behaviour::Healthy);
    }
    world.run(finish);
    let during = world.answered_share(onset, end);
    let after = world.answered_share(recovered, finish);
    println!("all {bad:?}, {per_zone} a zone: answered {during:.3} during, {after:.3} after");
    assert!(after > 0.95, "{bad:?}: {after}");
}

#[test]
fn a_service_that_was_slow_as_a_whole_comes_back() {
    service_comes_back(4, Behaviour::Slow(10.0));
    service_comes_back(1, Behaviour::Slow(10.0));
}

#[test]
fn a_service_that_stalled_as_a_whole_comes_back() {
    service_comes_back(4, Behaviour::Stalled);
    service_comes_back(1, Behaviour::Stalled);
}
