//! What a node believes of its back end, under reports in any order.

use std::collections::HashSet;

use proptest::{prelude::*, test_runner::RngSeed};
use tallybridge_mesh::{
    InstanceReport, ReportedState,
    tables::{InstanceState, LocalInstance},
};
use tokio::time::Instant;

#[derive(Debug, Clone)]
enum Event {
    Report {
        instance: u8,
        leaving: bool,
        sequence: u64,
    },
    Verified {
        instance: u8,
        healthy: bool,
    },
    Unreachable,
    Reached,
    Misdirected,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u8..3, any::<bool>(), 0_u64..6).prop_map(|(instance, leaving, sequence)| {
            Event::Report { instance, leaving, sequence }
        }),
        3 => (0_u8..3, any::<bool>())
            .prop_map(|(instance, healthy)| Event::Verified { instance, healthy }),
        1 => Just(Event::Unreachable),
        1 => Just(Event::Reached),
        1 => Just(Event::Misdirected),
    ]
}

fn report(instance: u8, leaving: bool, sequence: u64) -> InstanceReport {
    InstanceReport {
        instance: instance.to_string(),
        state: if leaving {
            ReportedState::Leaving
        } else {
            ReportedState::Ready
        },
        sequence,
        slots: 7,
        cold: std::time::Duration::ZERO,
        address: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(2), ..ProptestConfig::default() })]

    /// The oracle: an instance that said it leaves never gets work again, and none gets work that
    /// has not answered a health check as healthy.
    #[test]
    fn leavers_and_strangers_get_no_work(events in prop::collection::vec(event(), 1..60)) {
        let now = Instant::now();
        let mut instance = LocalInstance::default();
        let mut left = HashSet::new();
        let mut healthy = HashSet::new();
        for event in events {
            match event {
                Event::Report { instance: id, leaving, sequence } => {
                    if leaving {
                        left.insert(id.to_string());
                    }
                    instance.report(&report(id, leaving, sequence), now);
                }
                Event::Verified { instance: id, healthy: is_healthy } => {
                    if is_healthy {
                        healthy.insert(id.to_string());
                    }
                    instance.verified(&id.to_string(), is_healthy);
                }
                Event::Unreachable => {
                    instance.unreachable(now);
                }
                Event::Reached => {
                    instance.reached();
                }
                Event::Misdirected => instance.misdirected(),
            }
            if let Some(id) = instance.takes_work(now) {
                prop_assert!(!left.contains(&*id), "{id} has left");
                prop_assert!(healthy.contains(&*id), "{id} was never verified");
            }
        }
    }
}

#[test]
fn a_ready_report_alone_is_no_proof() {
    let mut instance = LocalInstance::default();
    instance.report(&report(1, false, 3), Instant::now());
    assert_eq!(instance.state(), InstanceState::Unknown);
}

#[test]
fn a_late_report_does_not_change_the_slots() {
    let now = Instant::now();
    let mut instance = LocalInstance::default();
    instance.verified("1", true);
    instance.report(&report(1, false, 5), now);
    let late = InstanceReport {
        slots: 99,
        ..report(1, false, 4)
    };
    instance.report(&late, now);
    assert_eq!(instance.slots(), 7);
}

#[test]
fn an_unreachable_back_end_is_tried_again_after_a_while() {
    let now = Instant::now();
    let mut instance = LocalInstance::default();
    instance.verified("1", true);
    assert!(instance.unreachable(now));
    assert!(!instance.unreachable(now), "no news the second time");
    assert!(instance.takes_work(now).is_none());
    assert!(
        instance
            .takes_work(now + std::time::Duration::from_secs(1))
            .is_some()
    );
    assert!(instance.reached());
    assert!(instance.takes_work(now).is_some());
}
