//! When a call counts as late.

use std::time::Duration;

use tallybridge_mesh::tables::AnswerTimes;

const ROUTE: u16 = 7;

fn after(answers: impl IntoIterator<Item = u64>) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for took_ms in answers {
        times.answered(ROUTE, Duration::from_millis(took_ms));
    }
    times
}

#[test]
fn nothing_is_late_while_little_is_known() {
    assert_eq!(after([20; 19]).late_after(ROUTE), None);
    assert!(after([20; 20]).late_after(ROUTE).is_some());
    assert_eq!(after([20; 40]).late_after(ROUTE + 1), None);
}

#[test]
fn a_call_is_late_well_beyond_the_usual_times_of_its_route() {
    // Times from 10 to 49 ms, again and again in no order.
    let usual = (0..2000).map(|number| 10 + number * 7 % 40);
    let late = after(usual).late_after(ROUTE).expect("it is known");
    assert!(late > Duration::from_millis(100), "{late:?}");
    assert!(late < Duration::from_millis(180), "{late:?}");
}

#[test]
fn a_route_whose_calls_become_slow_is_believed_to_be_slow() {
    let slowing = std::iter::repeat_n(20, 200).chain(std::iter::repeat_n(240, 60));
    let late = after(slowing).late_after(ROUTE).expect("it is known");
    assert!(late > Duration::from_millis(500), "{late:?}");
}
