//! The answer of a refused request: its status, and when its caller may come back.
//!
//! **Rule.** A request that may have run is never answered 503 or 429, which callers read as a promise
//! that it has not. One that has not run for certain is answered so, or with a status of its own fault.
//! A 503 or 429 carries the refusal's time to come back, spread at random.
//!
//! **Inputs.** The kind of the refusal with its row in the table of `tallybridge-core`, its outcome over
//! all attempts, and its own time to come back.
//!
//! **Output.** A [`Response`], with the name of the kind in a header line and in the body.
//!
//! **Why.** A caller sends again what has not run, so a wrong status makes work run twice. Callers that
//! were refused together must not come back together.

use std::{ops::Range, time::Duration};

use rand::Rng;
use tallybridge_core::{Outcome, Refusal};

use crate::http::Response;

/// When a caller may come back whose refusal has no better time. Origin not recorded.
pub(in crate::request) const RETRY_AFTER: Duration = Duration::from_millis(250);
/// When a caller may come back whose request was shed at the entry. An overload lasts seconds: at 0.4 s
/// the same requests were refused up to four times; 0.9 s gave 0.730 and 0.4 s 0.724 of the value of
/// the requests of ten recorded days, 1.4 s served fewer (`docs/DECISIONS.md`).
pub(super) const SHED_RETRY_AFTER: Duration = Duration::from_millis(900);
/// What a time to come back is multiplied by, at random. Origin not recorded.
const RETRY_AFTER_SPREAD: Range<f64> = 0.8..1.4;

/// The answer of a refusal.
pub(super) fn refusal_answer(refusal: &Refusal) -> Response {
    let row = refusal.kind.answer();
    let status = match refusal.outcome {
        Outcome::NotRun if row.status >= 500 => 503,
        Outcome::Unknown if row.status == 503 || row.status == 429 => 502,
        _ => row.status,
    };
    let answer = Response::new(status, format!("{}\n", row.name));
    let answer = answer.with_header("Tallybridge-Error", row.name);
    if status != 503 && status != 429 {
        return answer;
    }
    let after = refusal.retry_after.unwrap_or(RETRY_AFTER);
    let spread = rand::rng().random_range(RETRY_AFTER_SPREAD);
    let seconds = format!("{:.3}", after.mul_f64(spread).as_secs_f64());
    answer.with_header("Retry-After", &seconds)
}
