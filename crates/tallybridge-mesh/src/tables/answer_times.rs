//! How long answers of each route take, to tell a late one from a lost one.

use std::{collections::HashMap, time::Duration};

/// Part of the answers that take no longer than the quantile that is kept.
const QUANTILE: f64 = 0.9;
/// Part of the quantile by which an answer moves it.
const GAIN: f64 = 0.05;
/// Answers after which the quantile is believed.
const BELIEVED_AFTER: u32 = 20;
/// A call is late after this multiple of the quantile: work of one kind varies by some half, and
/// one call in a hundred takes five times as long as usual.
const LATE_FROM: f64 = 2.5;
/// Added to that, as answers of a few milliseconds vary by more than their own time.
const LEAST_LATENESS: Duration = Duration::from_millis(20);
/// Routes of which times are kept; a day's configurations have some hundreds.
const MAX_ROUTES: usize = 4096;

#[derive(Debug)]
struct RouteTimes {
    answers: u32,
    quantile_seconds: f64,
}

/// Times of the answers to this node's calls, by the number of their route.
#[derive(Debug, Default)]
pub struct AnswerTimes(HashMap<u16, RouteTimes>);

impl AnswerTimes {
    /// A call of a route was answered well.
    pub fn answered(&mut self, route: u16, took: Duration) {
        if self.0.len() >= MAX_ROUTES && !self.0.contains_key(&route) {
            self.0.clear();
        }
        let seconds = took.as_secs_f64();
        let times = self.0.entry(route).or_insert(RouteTimes {
            answers: 0,
            quantile_seconds: seconds,
        });
        times.answers = times.answers.saturating_add(1);
        let above = if seconds > times.quantile_seconds {
            QUANTILE
        } else {
            QUANTILE - 1.0
        };
        times.quantile_seconds *= 1.0 + GAIN * above;
    }

    /// Time after which a call of a route is late; `None` while too little is known.
    #[must_use]
    pub fn late_after(&self, route: u16) -> Option<Duration> {
        let times = self.0.get(&route);
        let times = times.filter(|times| times.answers >= BELIEVED_AFTER)?;
        let usual = Duration::from_secs_f64(times.quantile_seconds);
        Some(usual.mul_f64(LATE_FROM) + LEAST_LATENESS)
    }
}
