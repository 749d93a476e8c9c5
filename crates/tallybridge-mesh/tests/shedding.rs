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
