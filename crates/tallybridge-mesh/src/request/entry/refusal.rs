//! HTTP answers to refused requests: the status and the `Retry-After` header.
//!
//! Callers read 503 and 429 as a promise that the request has not run, and send it again. A request
//! that may have run must therefore get neither status, or its work runs twice. The `Retry-After` of
//! a 503 or 429 is randomized so that callers that were refused together do not return together.

use std::{ops::Range, time::Duration};

use rand::Rng;
use tallybridge_core::{Outcome, Refusal};

use crate::http::Response;

/// `Retry-After` of a refusal that has no delay of its own.
pub(in crate::request) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// `Retry-After` of a request that was shed at the entry. An overload lasts for seconds, and an
/// earlier retry would be shed again.
pub(super) const SHED_RETRY_AFTER: Duration = Duration::from_millis(900);
/// Range of the random factor that is applied to `Retry-After`.
const RETRY_AFTER_JITTER: Range<f64> = 0.8..1.4;

/// Converts a refusal to an HTTP answer.
pub(super) fn refusal_answer(refusal: &Refusal) -> Response {
    let mapping = refusal.kind.answer();
    let status = match refusal.outcome {
        Outcome::NotRun if mapping.status >= 500 => 503,
        Outcome::Unknown if mapping.status == 503 || mapping.status == 429 => 502,
        _ => mapping.status,
    };
    let answer = Response::new(status, format!("{}\n", mapping.name));
    let answer = answer.with_header("Tallybridge-Error", mapping.name);
    if status != 503 && status != 429 {
        return answer;
    }
    let retry_after = refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
    let jitter = rand::rng().random_range(RETRY_AFTER_JITTER);
    let seconds = format!("{:.3}", retry_after.mul_f64(jitter).as_secs_f64());
    answer.with_header("Retry-After", &seconds)
}
