//! Reading the rate limit in the answers of a back end, whatever the order in which they arrive.

use std::time::Duration;

use bytes::BytesMut;
use tallybridge_mesh::{
    http::ResponseHead,
    protocol::BackendNotice,
    tables::{AnnouncedLimit, AnnouncedRate, Announcement, EarlierNotices, LimitChange},
};
use tokio::time::Instant;

mod support;

fn announcement(lines: &str) -> Announcement {
    let text = format!("HTTP/1.1 200 OK\r\n{lines}\r\n");
    let mut buffer = BytesMut::from(text.as_bytes());
    let head = ResponseHead::take(&mut buffer, 4096).unwrap().unwrap();
    Announcement::from_headers(&head.headers, &support::header_names())
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn reads_decimal_numbers_only() {
    for (value, rate) in [("12.9", 12.9), ("0", 0.0), (" 0.25 ", 0.25), ("300", 300.0)] {
        let announced = announcement(&format!("Rate-Limit: {value}\r\n"));
        assert_eq!(announced.rate, AnnouncedRate::PerSecond(rate), "{value}");
    }
    for value in [
        "many", "-3", "+3", "NaN", "1e999", "1e3", "", "inf", "1.2.3", ".",
    ] {
        let announced = announcement(&format!("Rate-Limit: {value}\r\n"));
        assert_eq!(announced.rate, AnnouncedRate::Malformed(value.to_owned()));
    }
    assert_eq!(announcement("").rate, AnnouncedRate::Unlimited);
}

#[test]
fn reads_leaving_mark() {
    assert!(announcement("Leaving: 1\r\n").is_leaving);
    assert!(!announcement("Leaving: 0\r\n").is_leaving);
    assert!(!announcement("").is_leaving);
}

#[test]
fn late_answer_does_not_lift_limit() {
    let start = Instant::now();
    let mut limit = AnnouncedLimit::default();
    let rate = AnnouncedRate::PerSecond(10.0);
    let began = limit.record(&rate, start, after(start, 100));
    assert_eq!(began, Some(LimitChange::Began(10.0)));
    // Both calls were dispatched before the limit was announced.
    let higher = AnnouncedRate::PerSecond(20.0);
    assert_eq!(
        limit.record(&higher, after(start, 50), after(start, 200)),
        None
    );
    let unlimited = AnnouncedRate::Unlimited;
    assert_eq!(
        limit.record(&unlimited, after(start, 60), after(start, 210)),
        None
    );
    assert_eq!(limit.per_second(), Some(10.0));
}

#[test]
fn newer_answers_raise_and_end_limit() {
    let start = Instant::now();
    let mut limit = AnnouncedLimit::default();
    limit.record(&AnnouncedRate::PerSecond(10.0), start, start);
    let raised = limit.record(
        &AnnouncedRate::PerSecond(20.0),
        after(start, 1),
        after(start, 9),
    );
    assert_eq!(raised, Some(LimitChange::Changed(20.0)));
    let ended = limit.record(
        &AnnouncedRate::Unlimited,
        after(start, 10),
        after(start, 20),
    );
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limit.per_second(), None);
}

#[test]
fn lower_rate_applies_from_any_answer() {
    let start = Instant::now();
    let mut limit = AnnouncedLimit::default();
    limit.record(&AnnouncedRate::PerSecond(10.0), start, after(start, 100));
    let lowered = limit.record(&AnnouncedRate::PerSecond(2.0), start, after(start, 120));
    assert_eq!(lowered, Some(LimitChange::Changed(2.0)));
}

#[test]
fn unreadable_rate_changes_nothing() {
    let start = Instant::now();
    let mut limit = AnnouncedLimit::default();
    limit.record(&AnnouncedRate::PerSecond(10.0), start, start);
    let malformed = AnnouncedRate::Malformed("many".to_owned());
    assert_eq!(
        limit.record(&malformed, after(start, 10), after(start, 20)),
        None
    );
    assert_eq!(limit.per_second(), Some(10.0));
}

#[test]
fn limit_that_peers_remember_applies_until_an_answer() {
    let start = Instant::now();
    let mut limit = AnnouncedLimit::default();
    assert!(limit.adopt(10.0, start));
    assert!(
        !limit.adopt(20.0, start),
        "a higher limit replaced a lower one"
    );
    assert!(limit.adopt(5.0, start));
    let ended = limit.record(&AnnouncedRate::Unlimited, after(start, 1), after(start, 2));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert!(
        !limit.adopt(5.0, after(start, 3)),
        "a peer overrode an answer"
    );
}

fn notice(instance: &str, started_at_ms: u64, rate_limit: f64) -> BackendNotice {
    BackendNotice {
        instance: instance.to_owned(),
        started_at_ms: Some(started_at_ms),
        rate_limit: Some(rate_limit),
        is_leaving: false,
    }
}

#[test]
fn keeps_lowest_limit_of_each_unverified_incarnation() {
    let mut notices = EarlierNotices::default();
    for earlier in [
        notice("a", 1, 10.0),
        notice("b", 1, 3.0),
        notice("a", 1, 12.0),
    ] {
        notices.record(earlier);
    }
    notices.record(notice("a", 2, 7.0));
    assert_eq!(
        notices.take("a"),
        [notice("a", 1, 10.0), notice("a", 2, 7.0)]
    );
    assert_eq!(notices.take("a"), []);
    assert_eq!(notices.take("b"), [notice("b", 1, 3.0)]);
}
