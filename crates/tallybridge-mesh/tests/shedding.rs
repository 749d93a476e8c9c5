//! Which fresh requests are let in while a service is full.

mod support;

use std::sync::Arc;

use tallybridge_mesh::{
    Route,
    tables::{BackendState, Load, PeerStatus, RootShedding, ServiceViews},
};

use self::support::route;

fn views(services: &[(&str, u16, u16, &[&str])]) -> ServiceViews {
    let mut views = ServiceViews::default();
    for (service, limit, in_flight, called) in services {
        let told = PeerStatus {
            backend: BackendState::Ready,
            load: Load {
                limit: *limit,
                in_flight: *in_flight,
                ..Load::default()
            },
            calls: called.iter().map(|name| Arc::from(*name)).collect(),
            ..PeerStatus::default()
        };
        views.add(&Arc::from(*service), &told, *limit > 0);
    }
    views
}

fn admitted(shedding: &mut RootShedding, route: &Route) -> usize {
    let service = route.parts[0].service.clone();
    (0..1000)
        .filter(|_| shedding.admits(route, &service))
        .count()
}

#[test]
fn fresh_requests_are_shed_for_a_service_far_below_and_let_in_again() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut shedding = RootShedding::default();
    assert_eq!(admitted(&mut shedding, &lookup), 1000);
    let full = views(&[
        ("top", 100, 10, &["middle"]),
        ("middle", 100, 20, &["deep"]),
        ("deep", 10, 20, &[]),
    ]);
    for _ in 0..20 {
        shedding.adapt(&full);
    }
    let while_full = admitted(&mut shedding, &lookup);
    assert!((150..=350).contains(&while_full), "{while_full} of 1000");
    let relieved = views(&[
        ("top", 100, 10, &["middle"]),
        ("middle", 100, 20, &["deep"]),
        ("deep", 10, 2, &[]),
    ]);
    for _ in 0..20 {
        shedding.adapt(&relieved);
    }
    assert_eq!(admitted(&mut shedding, &lookup), 1000);
    assert!(shedding.is_open());
}

#[test]
fn a_route_that_calls_nobody_is_not_shed_for_what_is_full_below_its_service() {
    let download = route("download", "h", "/d/", 2, &[("top", 1)]);
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut shedding = RootShedding::default();
    admitted(&mut shedding, &download);
    admitted(&mut shedding, &lookup);
    for number in 0..40 {
        shedding.answered(&download, false);
        // Of the other route, most requests call somebody.
        shedding.answered(&lookup, number % 4 != 0);
    }
    let full = views(&[("top", 100, 10, &["deep"]), ("deep", 10, 20, &[])]);
    for _ in 0..20 {
        shedding.adapt(&full);
    }
    assert_eq!(admitted(&mut shedding, &download), 1000);
    assert!(admitted(&mut shedding, &lookup) < 400);
    shedding.answered(&download, true);
    for _ in 0..20 {
        shedding.adapt(&full);
    }
    assert!(
        admitted(&mut shedding, &download) < 400,
        "it calls after all"
    );
}

#[test]
fn payments_are_shed_last() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let payment = route("payment", "h", "/", 0, &[("top", 1)]);
    let mut shedding = RootShedding::default();
    admitted(&mut shedding, &lookup);
    admitted(&mut shedding, &payment);
    let full = views(&[("top", 100, 10, &["deep"]), ("deep", 10, 16, &[])]);
    for _ in 0..60 {
        shedding.adapt(&full);
    }
    assert!(admitted(&mut shedding, &lookup) < 400);
    assert_eq!(admitted(&mut shedding, &payment), 1000);
}

#[test]
fn hardly_anything_is_let_in_while_a_needed_service_has_no_back_end() {
    let lookup = route("lookup", "h", "/", 2, &[("top", 1)]);
    let mut shedding = RootShedding::default();
    admitted(&mut shedding, &lookup);
    shedding.adapt(&views(&[("top", 100, 10, &["deep"]), ("deep", 0, 0, &[])]));
    assert!(admitted(&mut shedding, &lookup) <= 30);
}

#[test]
fn where_most_of_a_service_is_gone_less_is_let_in_and_still_no_route_starves() {
    let routes = [
        route("payment", "h", "/pay/", 0, &[("top", 1)]),
        route("lookup", "h", "/look/", 2, &[("top", 1)]),
        route("balance", "h", "/balance/", 2, &[("deep", 1)]),
    ];
    let mut shedding = RootShedding::default();
    let overloaded = views(&[("top", 100, 10, &["deep"]), ("deep", 10, 40, &[])]);
    let mut let_in = [0_usize; 3];
    for tick in 0..300 {
        for (route, count) in routes.iter().zip(&mut let_in) {
            let service = route.parts[0].service.clone();
            let admitted = (0..20).filter(|_| shedding.admits(route, &service)).count();
            // The last ten seconds count.
            *count += if tick < 200 { 0 } else { admitted };
        }
        shedding.adapt(&overloaded);
    }
    let all: usize = let_in.iter().sum();
    assert!(all < 600, "a tenth of 6,000 at the most: {let_in:?}");
    for count in let_in {
        let share = count as f64 / 2000.0;
        let of_all = all as f64 / 6000.0;
        assert!(share > of_all * 0.25, "{let_in:?}");
    }
    let relieved = views(&[("top", 100, 10, &["deep"]), ("deep", 10, 2, &[])]);
    for _ in 0..20 {
        shedding.adapt(&relieved);
    }
    assert!(shedding.is_open());
}
