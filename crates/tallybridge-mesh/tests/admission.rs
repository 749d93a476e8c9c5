//! Which fresh requests are admitted while a service is full.

mod support;

use tallybridge_mesh::{
    PolicySettings, configuration::tenants::TenantRank, tables::AdmissionControl,
};

use self::support::{
    admission::{admitted, admitted_of, learn, loads, seen},
    overload::{ChainFleet, Demand},
    route,
};

#[test]
fn a_tenant_that_goes_before_another_is_shed_after_it_whatever_the_routes() {
    let mut admission = AdmissionControl::default();
    let payments = route("payments", "h", "/p/", 0, &[("ledger", 1)]);
    let reads = route("reads", "h", "/r/", 2, &[("ledger", 1)]);
    let first = TenantRank {
        higher_priorities: 0,
        lower_priorities: 1,
    };
    let second = TenantRank {
        higher_priorities: 1,
        lower_priorities: 0,
    };
    let full = loads(&[seen("ledger", (20, 20, 400), &[])]);
    for _ in 0..30 {
        for (route, rank) in [(&payments, second), (&reads, first)] {
            admitted_of(&mut admission, route, rank);
        }
        admission.adapt(&full);
    }
    let reads_of_first = admitted_of(&mut admission, &reads, first);
    let payments_of_second = admitted_of(&mut admission, &payments, second);
    assert!(
        reads_of_first > payments_of_second,
        "{reads_of_first} and {payments_of_second}"
    );
    assert!(payments_of_second < 1000, "something is shed");
}

#[test]
fn fresh_requests_are_shed_for_a_service_far_below_and_admitted_again() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    assert_eq!(admitted(&mut admission, &lookup), 1000);
    learn(&mut admission, &lookup, &[("top", 50), ("deep", 20)]);
    let full = loads(&[
        seen("top", (100, 10, 10), &["middle"]),
        seen("middle", (100, 20, 20), &["deep"]),
        seen("deep", (10, 20, 200), &[]),
    ]);
    for _ in 0..20 {
        admission.adapt(&full);
    }
    let while_full = admitted(&mut admission, &lookup);
    assert!((50..=350).contains(&while_full), "{while_full} of 1000");
    let relieved = loads(&[
        seen("top", (100, 10, 10), &["middle"]),
        seen("middle", (100, 20, 20), &["deep"]),
        seen("deep", (10, 2, 20), &[]),
    ]);
    for _ in 0..20 {
        admission.adapt(&relieved);
    }
    assert_eq!(admitted(&mut admission, &lookup), 1000);
    assert_eq!(admission.shed_routes().count(), 0);
}

#[test]
fn a_route_that_calls_nobody_is_not_shed_for_what_is_full_below_its_service() {
    let download = route("download", "h", "/d/", 2, &[("top", 1)]);
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    learn(&mut admission, &download, &[("top", 50)]);
    learn(&mut admission, &lookup, &[("top", 50), ("deep", 20)]);
    let full = loads(&[
        seen("top", (100, 10, 10), &["deep"]),
        seen("deep", (10, 20, 200), &[]),
    ]);
    for _ in 0..20 {
        admission.adapt(&full);
    }
    assert_eq!(admitted(&mut admission, &download), 1000);
    assert!(admitted(&mut admission, &lookup) < 400);
    learn(&mut admission, &download, &[("top", 50), ("deep", 20)]);
    admission.adapt(&full);
    assert!(
        admitted(&mut admission, &download) < 400,
        "it calls after all"
    );
}

#[test]
fn payments_are_shed_last() {
    let demands = demands();
    let needed: f64 = demands.iter().map(|demand| demand.slots("deep")).sum();
    let mut fleet = ChainFleet::new(&demands, needed * 0.7);
    fleet.run(100);
    let served = fleet.run(300);
    assert!(served.shares[0] > 0.97, "payments: {served:?}");
    assert!(served.shares[1] < 0.7, "histories: {served:?}");
}

#[test]
fn of_one_priority_the_route_that_costs_the_full_service_more_is_shed_more() {
    let balance = route("balance", "h", "/b/", 2, &[("deep", 1)]);
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    learn(&mut admission, &balance, &[("deep", 480)]);
    learn(&mut admission, &lookup, &[("top", 90), ("deep", 120)]);
    let full = loads(&[
        seen("top", (100, 10, 10), &["deep"]),
        seen("deep", (10, 12, 150), &[]),
    ]);
    for _ in 0..8 {
        admission.adapt(&full);
    }
    let costly = admitted(&mut admission, &balance);
    let cheap = admitted(&mut admission, &lookup);
    assert!(costly * 3 < cheap * 2, "{costly} and {cheap} of 1000");
    assert!(costly * 3 > cheap, "it does not starve: {costly}, {cheap}");
}

#[test]
fn hardly_anything_is_admitted_while_a_needed_service_has_no_back_end() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    learn(&mut admission, &lookup, &[("top", 50), ("deep", 20)]);
    admission.adapt(&loads(&[
        seen("top", (100, 10, 10), &["deep"]),
        seen("deep", (0, 0, 0), &[]),
    ]));
    assert!(admitted(&mut admission, &lookup) <= 30);
}

#[test]
fn a_node_that_has_just_started_lets_all_in_once_it_knows_a_back_end() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::default();
    let unknown = loads(&[seen("top", (0, 0, 0), &[])]);
    let idle = loads(&[seen("top", (100, 10, 10), &[])]);
    admitted(&mut admission, &lookup);
    admission.adapt(&unknown);
    admission.adapt(&idle);
    assert_eq!(admitted(&mut admission, &lookup), 1000);
    // After an outage calls come back little by little, within a second.
    admission.adapt(&unknown);
    admission.adapt(&idle);
    assert!(admitted(&mut admission, &lookup) < 500);
    for _ in 0..10 {
        admission.adapt(&idle);
    }
    assert_eq!(admitted(&mut admission, &lookup), 1000);
}

#[test]
fn with_its_switch_off_nothing_is_shed() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::new(PolicySettings {
        shed_at_entry: false,
        ..PolicySettings::default()
    });
    learn(&mut admission, &lookup, &[("top", 50), ("deep", 20)]);
    for _ in 0..20 {
        admission.adapt(&loads(&[
            seen("top", (100, 10, 10), &["deep"]),
            seen("deep", (10, 20, 200), &[]),
        ]));
    }
    assert_eq!(admitted(&mut admission, &lookup), 1000);
}

#[test]
fn with_costs_switched_off_a_download_is_shed_for_what_is_full_below() {
    let download = route("download", "h", "/d/", 2, &[("top", 1)]);
    let mut admission = AdmissionControl::new(PolicySettings {
        shed_by_cost: false,
        ..PolicySettings::default()
    });
    learn(&mut admission, &download, &[("top", 50)]);
    for _ in 0..20 {
        admission.adapt(&loads(&[
            seen("top", (100, 10, 10), &["deep"]),
            seen("deep", (10, 20, 200), &[]),
        ]));
    }
    assert!(admitted(&mut admission, &download) < 400);
}

/// Payments that need eight lookups, histories that need four, and direct lookups: what the deepest
/// service is asked for is a multiple of what it can do.
fn demands() -> [Demand; 3] {
    [
        Demand::new("payment", 0, 113.0, &[("top", 300), ("deep", 176)]),
        Demand::new("history", 2, 268.0, &[("top", 200), ("deep", 88)]),
        Demand::new("mark", 2, 31.0, &[("deep", 72)]),
    ]
}

#[test]
fn at_any_fraction_of_the_deepest_service_it_is_used_and_urgent_requests_stay_ahead() {
    for fraction in [0.9, 0.6, 0.33, 0.1, 0.034] {
        let demands = demands();
        let needed: f64 = demands.iter().map(|demand| demand.slots("deep")).sum();
        let mut fleet = ChainFleet::new(&demands, needed * fraction);
        fleet.run(300);
        let served = fleet.run(150);
        let [payment, history, mark] = served.shares[..] else {
            panic!("three routes");
        };
        let context = format!("{fraction}: {served:?}");
        assert!(served.used > 0.85, "{context}");
        assert!(served.wasted < 0.1, "{context}");
        assert!(payment >= history && payment >= mark, "{context}");
        // No kind falls to a quarter of what is served of all.
        let of_all = served.of_all;
        assert!(history > of_all * 0.3 && mark > of_all * 0.3, "{context}");
        // Equal shares of all kinds would serve the fraction of all.
        assert!(of_all > fraction * 0.6, "{context}");
    }
}

#[test]
fn what_is_admitted_does_not_swing_while_demand_is_steady() {
    let demands = demands();
    let needed: f64 = demands.iter().map(|demand| demand.slots("deep")).sum();
    let mut fleet = ChainFleet::new(&demands, needed * 0.4);
    fleet.run(300);
    let spans: Vec<f64> = (0..10).map(|_| fleet.run(20).of_all).collect();
    let highest = spans.iter().copied().fold(0.0, f64::max);
    let lowest = spans.iter().copied().fold(1.0, f64::min);
    assert!(highest < lowest * 1.25, "{spans:?}");
}
