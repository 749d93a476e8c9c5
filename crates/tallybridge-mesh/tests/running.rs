//! Running calls and their nested calls.

use std::time::Duration;

use bytes::Bytes;
use tallybridge_mesh::{
    protocol::SlotTimes,
    tables::{FoundParent, NestedEnd, Parent, RunningAttempts},
};

fn new_parent(is_urgent: bool) -> Parent {
    Parent {
        is_urgent,
        is_retry: false,
    }
}

#[test]
fn finds_parent_of_nested_call() {
    let mut running = RunningAttempts::default();
    let root = Bytes::from_static(b"ab12");
    let parent = new_parent(true);
    running.begin(&root, parent);
    let found = FoundParent {
        attempt: root.clone(),
        parent,
    };
    assert_eq!(running.parent_of(b"ab12.cd").as_ref(), Some(&found));
    assert_eq!(running.parent_of(b"ab12.cd.ef").as_ref(), Some(&found));
    assert_eq!(
        running.parent_of(b"ab12"),
        None,
        "the call was found as its own parent"
    );
    assert_eq!(running.parent_of(b"ab1.cd"), None);
    assert_eq!(running.parent_of(b"zz"), None);
    running.begin(&root, parent);
    running.end(&root);
    assert!(
        running.parent_of(b"ab12.cd").is_some(),
        "the second execution is still running"
    );
    running.end(&root);
    assert_eq!(running.parent_of(b"ab12.cd"), None);
}

#[test]
fn call_may_fail_due_to_nested_call() {
    let mut running = RunningAttempts::default();
    let root = Bytes::from_static(b"ab12");
    running.begin(&root, new_parent(false));
    assert!(
        !running.may_fail_due_to_nested_call(&root),
        "the call has made no nested call"
    );
    running.begin_nested(&root);
    assert!(
        running.may_fail_due_to_nested_call(&root),
        "a nested call is still open"
    );
    running.end_nested(&root, &NestedEnd::Succeeded(SlotTimes::default()));
    assert!(
        !running.may_fail_due_to_nested_call(&root),
        "the nested call succeeded"
    );
    running.begin_nested(&root);
    running.end_nested(&root, &NestedEnd::Failed(SlotTimes::default()));
    assert!(
        running.may_fail_due_to_nested_call(&root),
        "the nested call failed"
    );
    running.end(&root);
    assert!(
        !running.may_fail_due_to_nested_call(&root),
        "the call has ended"
    );
}

#[test]
fn sums_slot_times_of_nested_calls() {
    let mut running = RunningAttempts::default();
    let root = Bytes::from_static(b"ab12");
    running.begin(&root, new_parent(false));
    let mut times = SlotTimes::default();
    times.add(&"deep".into(), Duration::from_millis(20));
    times.add(&"middle".into(), Duration::from_millis(50));
    for _ in 0..2 {
        running.begin_nested(&root);
        running.end_nested(&root, &NestedEnd::Succeeded(times.clone()));
    }
    running.begin_nested(&root);
    running.end_nested(&root, &NestedEnd::Failed(SlotTimes::default()));
    let nested_times = running.nested_slot_times(&root);
    assert_eq!(nested_times.get("deep"), Duration::from_millis(40));
    assert_eq!(nested_times.get("middle"), Duration::from_millis(100));
    assert_eq!(nested_times.get("other"), Duration::ZERO);
}

#[test]
fn nested_calls_inherit_retry_of_any_execution() {
    let mut running = RunningAttempts::default();
    let attempt = Bytes::from_static(b"a");
    let retry = Parent {
        is_retry: true,
        ..new_parent(false)
    };
    running.begin(&attempt, new_parent(false));
    running.begin(&attempt, retry);
    let found = running.parent_of(b"a.b").expect("the parent is running");
    assert!(found.parent.is_retry);
}

#[test]
fn includes_slot_times_of_failed_calls() {
    let mut running = RunningAttempts::default();
    let root = Bytes::from_static(b"ab12");
    running.begin(&root, new_parent(false));
    let mut min_times = SlotTimes::default();
    min_times.add(&"deep".into(), Duration::from_millis(30));
    running.begin_nested(&root);
    running.end_nested(&root, &NestedEnd::Failed(min_times));
    assert!(running.may_fail_due_to_nested_call(&root));
    let nested_times = running.nested_slot_times(&root);
    assert_eq!(nested_times.get("deep"), Duration::from_millis(30));
}
