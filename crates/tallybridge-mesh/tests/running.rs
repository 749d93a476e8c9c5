//! Running calls and the nested calls that they make.

use std::time::Duration;

use bytes::Bytes;
use tallybridge_mesh::{
    protocol::SlotTimes,
    tables::{FoundParent, NestedEnd, Parent, RunningAttempts},
};

fn parent_of(is_urgent: bool) -> Parent {
    Parent {
        is_urgent,
        is_retry: false,
    }
}

#[test]
fn a_nested_call_is_known_by_the_running_call_that_made_it() {
    let mut running = RunningAttempts::default();
    let root = Bytes::from_static(b"ab12");
    let parent = parent_of(true);
    running.begin(&root, parent);
    let found = FoundParent {
        attempt: root.clone(),
        parent,
    };
    assert_eq!(running.parent_of(b"ab12.cd").as_ref(), Some(&found));
    assert_eq!(running.parent_of(b"ab12.cd.ef").as_ref(), Some(&found));
    assert_eq!(running.parent_of(b"ab12"), None, "it is no call of its own");
    assert_eq!(running.parent_of(b"ab1.cd"), None);
    assert_eq!(running.parent_of(b"zz"), None);
    running.begin(&root, parent);
    running.end(&root);
    assert!(running.parent_of(b"ab12.cd").is_some(), "it runs twice");
    running.end(&root);
    assert_eq!(running.parent_of(b"ab12.cd"), None);
}

#[test]
fn a_call_may_fail_for_one_that_it_made_and_that_failed_or_is_still_open() {
    let mut running = RunningAttempts::default();
    let root = Bytes::from_static(b"ab12");
    running.begin(&root, parent_of(false));
    assert!(!running.may_fail_for_another(&root), "it made none");
    running.begin_nested(&root);
    assert!(running.may_fail_for_another(&root), "one is open");
    running.end_nested(&root, &NestedEnd::Succeeded(SlotTimes::default()));
    assert!(!running.may_fail_for_another(&root), "it ended well");
    running.begin_nested(&root);
    running.end_nested(&root, &NestedEnd::Failed(SlotTimes::default()));
    assert!(running.may_fail_for_another(&root), "it failed");
    running.end(&root);
    assert!(!running.may_fail_for_another(&root), "nothing is kept");
}

#[test]
fn what_nested_calls_cost_adds_up_at_the_call_that_made_them() {
    let mut running = RunningAttempts::default();
    let root = Bytes::from_static(b"ab12");
    running.begin(&root, parent_of(false));
    let mut times = SlotTimes::default();
    times.add(&"deep".into(), Duration::from_millis(20));
    times.add(&"middle".into(), Duration::from_millis(50));
    for _ in 0..2 {
        running.begin_nested(&root);
        running.end_nested(&root, &NestedEnd::Succeeded(times.clone()));
    }
    running.begin_nested(&root);
    running.end_nested(&root, &NestedEnd::Failed(SlotTimes::default()));
    let below = running.times_below(&root);
    assert_eq!(below.of("deep"), Duration::from_millis(40));
    assert_eq!(below.of("middle"), Duration::from_millis(100));
    assert_eq!(below.of("other"), Duration::ZERO);
}

#[test]
fn the_calls_of_a_run_are_repeats_if_any_run_of_that_attempt_is_one() {
    let mut running = RunningAttempts::default();
    let attempt = Bytes::from_static(b"a");
    let repeat = Parent {
        is_retry: true,
        ..parent_of(false)
    };
    running.begin(&attempt, parent_of(false));
    running.begin(&attempt, repeat);
    let found = running.parent_of(b"a.b").expect("it runs");
    assert!(found.parent.is_retry);
}

#[test]
fn what_a_failed_call_cost_adds_up_as_well() {
    let mut running = RunningAttempts::default();
    let root = Bytes::from_static(b"ab12");
    running.begin(&root, parent_of(false));
    let mut least = SlotTimes::default();
    least.add(&"deep".into(), Duration::from_millis(30));
    running.begin_nested(&root);
    running.end_nested(&root, &NestedEnd::Failed(least));
    assert!(running.may_fail_for_another(&root));
    let below = running.times_below(&root);
    assert_eq!(below.of("deep"), Duration::from_millis(30));
}
