//! Faults that a test or a trial sets.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// What the store does in an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageManner {
    /// It answers 503.
    #[default]
    Unavailable,
    /// It says nothing until the outage ends, then closes the connection.
    Hang,
}

/// How the answer to a write that took effect is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LossManner {
    /// The connection closes without an answer.
    #[default]
    Close,
    /// The answer is 503 although the write took effect.
    Unavailable,
    /// No answer ever comes.
    Hang,
}

/// Body of `POST /fault`. A field that is given replaces the fault of that kind; 0 ends it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultOrder {
    /// Length of an outage that starts now, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outage_ms: Option<u64>,
    /// What the store does in that outage.
    #[serde(default)]
    pub outage_manner: OutageManner,
    /// Time before every request is done, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Time between doing a request and answering it, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_answer_ms: Option<u64>,
    /// Prefix of the keys whose writes `lose_answers` and `late_writes` mean; a write without a
    /// key, such as a lease's, has the empty key.
    #[serde(default)]
    pub key_prefix: String,
    /// Number of next writes that take effect but whose answer is lost.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u32>,
    /// How those answers are lost.
    #[serde(default)]
    pub loss_manner: LossManner,
    /// Number of next writes that are done late: their connection closes at once and they are
    /// done when `late_after_requests` more requests have come in.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_writes: Option<u32>,
    /// Requests after which those writes are done.
    #[serde(default)]
    pub late_after_requests: u32,
    /// Number of next requests that are answered 503 and not done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unavailable_requests: Option<u32>,
    /// Number of next requests that are answered 429 and not done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limited_requests: Option<u32>,
    /// `Retry-After` of those answers, in seconds.
    #[serde(default)]
    pub retry_after_s: u64,
}

/// What a fault makes of one request before it is done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hindrance {
    /// Answered 503.
    Unavailable,
    /// Silent until then, then the connection closes.
    HangUntil(Instant),
    /// Answered 429.
    Limited { retry_after_s: u64 },
}

/// The faults in force.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    outage_until: Option<Instant>,
    outage_manner: OutageManner,
    slow: Duration,
    slow_answer: Duration,
    key_prefix: String,
    lose_answers: u32,
    loss_manner: LossManner,
    late_writes: u32,
    late_after_requests: u32,
    unavailable_requests: u32,
    limited_requests: u32,
    retry_after_s: u64,
}

impl Faults {
    /// Takes an order in.
    pub fn set(&mut self, order: &FaultOrder, now: Instant) {
        if let Some(outage_ms) = order.outage_ms {
            self.outage_until = Some(now + Duration::from_millis(outage_ms));
            self.outage_manner = order.outage_manner;
        }
        if let Some(slow_ms) = order.slow_ms {
            self.slow = Duration::from_millis(slow_ms);
        }
        if let Some(slow_answer_ms) = order.slow_answer_ms {
            self.slow_answer = Duration::from_millis(slow_answer_ms);
        }
        self.key_prefix.clone_from(&order.key_prefix);
        if let Some(count) = order.lose_answers {
            self.lose_answers = count;
            self.loss_manner = order.loss_manner;
        }
        if let Some(count) = order.late_writes {
            self.late_writes = count;
            self.late_after_requests = order.late_after_requests;
        }
        if let Some(count) = order.unavailable_requests {
            self.unavailable_requests = count;
        }
        if let Some(count) = order.limited_requests {
            self.limited_requests = count;
            self.retry_after_s = order.retry_after_s;
        }
    }

    /// Time between doing a request and answering it.
    pub const fn slow_answer(&self) -> Duration {
        self.slow_answer
    }

    /// Time added to a request.
    pub const fn slow(&self) -> Duration {
        self.slow
    }

    /// What keeps the next request from being done; counts it against the fault.
    pub fn hinder(&mut self, now: Instant) -> Option<Hindrance> {
        if let Some(until) = self.outage_until.filter(|until| now < *until) {
            return Some(match self.outage_manner {
                OutageManner::Unavailable => Hindrance::Unavailable,
                OutageManner::Hang => Hindrance::HangUntil(until),
            });
        }
        if take_one(&mut self.unavailable_requests) {
            return Some(Hindrance::Unavailable);
        }
        if take_one(&mut self.limited_requests) {
            let retry_after_s = self.retry_after_s;
            return Some(Hindrance::Limited { retry_after_s });
        }
        None
    }

    /// The requests after which the write of this key is done, if it is done late; counts it
    /// against the fault.
    pub fn make_late(&mut self, key: &str) -> Option<u32> {
        if !key.starts_with(&self.key_prefix) {
            return None;
        }
        take_one(&mut self.late_writes).then_some(self.late_after_requests)
    }

    /// How the answer to the write of this key is lost, if it is; counts it against the fault.
    pub fn lose_answer(&mut self, key: &str) -> Option<LossManner> {
        if !key.starts_with(&self.key_prefix) {
            return None;
        }
        take_one(&mut self.lose_answers).then_some(self.loss_manner)
    }
}

fn take_one(count: &mut u32) -> bool {
    let some_left = *count > 0;
    *count = count.saturating_sub(1);
    some_left
}
