//! Admission of calls to the back end beside this node.

use std::time::Instant;

use tallybridge_core::{AttemptId, ErrorKind, Refusal, TemplateName};
use tallybridge_limits::{Offer, QueuedCall, Ticket};
use tallybridge_overload::Sample;
use tokio::sync::oneshot;

use crate::tables::{
    Tables,
    admission::{Admission, Applicant, TemplateBounds},
    executions::Execution,
};

/// Why calls are shed, for the caller and the log.
const DISPLACED: &str = "a more critical call took the place in the queue";
const QUEUE_FULL: &str = "the queue is full of calls at least as critical";
const TEMPLATE_FULL: &str = "the template's own concurrency limit is reached";
const WAITED_TOO_LONG: &str = "the queue did not move fast enough for the call's class";

/// What became of a call that asks for a slot.
#[derive(Debug)]
pub enum Admitted {
    /// It has a slot.
    Granted(AttemptId),
    /// It waits; the ticket takes it out of the queue again.
    Queued(Ticket, oneshot::Receiver<Result<AttemptId, Refusal>>),
}

/// Gives a call a slot, queues it, or refuses it.
///
/// # Errors
///
/// A refusal with outcome `not-run`: the node has no such back end, the back end is leaving, the
/// deadline has passed, or the queue is full of calls at least as critical.
pub fn admit(
    tables: &mut Tables,
    execution: Execution,
    bounds: TemplateBounds,
    now: Instant,
) -> Result<Admitted, Refusal> {
    if tables.leaving {
        return Err(Refusal::new(ErrorKind::Leaving, "the back end is leaving"));
    }
    if !tables.configuration.is_loaded() {
        // The call itself needs none, but the nested calls that it makes would be refused here.
        return Err(Refusal::new(
            ErrorKind::NoConfiguration,
            "this node has no configuration for nested calls yet",
        ));
    }
    if execution.deadline <= now {
        return Err(deadline_passed());
    }
    let idle = tables.admission.queue.is_empty();
    if idle && try_acquire(&mut tables.admission, &execution.template, bounds) {
        let class = execution.criticality;
        tables
            .admission
            .level
            .record_taken(class, std::time::Duration::ZERO);
        return Ok(Admitted::Granted(tables.executions.insert(execution)));
    }
    enqueue(tables, execution, bounds, now)
}

fn enqueue(
    tables: &mut Tables,
    execution: Execution,
    bounds: TemplateBounds,
    now: Instant,
) -> Result<Admitted, Refusal> {
    let (reply, receiver) = oneshot::channel();
    let waiting = QueuedCall {
        criticality: execution.criticality,
        deadline: execution.deadline,
        arrived: now,
        item: Applicant {
            execution,
            bounds,
            reply,
        },
    };
    let ticket = match tables.admission.queue.offer(waiting, now) {
        Offer::Queued(ticket) => ticket,
        Offer::QueuedDisplacing(ticket, displaced) => {
            refuse(&mut tables.admission, displaced, overloaded(DISPLACED));
            ticket
        }
        Offer::Refused(applicant) => {
            let class = applicant.execution.criticality;
            tables.admission.level.record_refused(class);
            return Err(overloaded(QUEUE_FULL));
        }
    };
    fill_slots(tables, now);
    Ok(Admitted::Queued(ticket, receiver))
}

/// Gives free slots to those who wait, the most critical first.
pub fn fill_slots(tables: &mut Tables, now: Instant) {
    while tables.admission.limit.in_flight() < tables.admission.limit.limit() {
        let Some(waiting) = tables.admission.queue.take(now) else {
            return;
        };
        let delay = now.saturating_duration_since(waiting.arrived);
        let applicant = waiting.item;
        if applicant.reply.is_closed() {
            continue;
        }
        let admission = &mut tables.admission;
        if !try_acquire(admission, &applicant.execution.template, applicant.bounds) {
            refuse(admission, applicant, overloaded(TEMPLATE_FULL));
            continue;
        }
        admission.level.record_taken(waiting.criticality, delay);
        grant(tables, applicant, now);
    }
}

fn grant(tables: &mut Tables, applicant: Applicant, now: Instant) {
    let mut execution = applicant.execution;
    execution.started = now;
    let template = execution.template.clone();
    let attempt = tables.executions.insert(execution);
    if applicant.reply.send(Ok(attempt)).is_err() {
        // The caller gave up between the check and the grant: the slot is free again.
        tables.executions.remove(attempt);
        release_template(&mut tables.admission, &template);
        tables.admission.limit.release(ignored_sample(), now);
    }
}

/// Takes a slot within the back end's limit, the template's own limit and what is kept for others.
fn try_acquire(admission: &mut Admission, template: &TemplateName, bounds: TemplateBounds) -> bool {
    let kept_for_others: u16 = admission
        .templates
        .iter()
        .filter(|(name, _)| *name != template)
        .map(|(_, slots)| slots.reserve.saturating_sub(slots.in_flight))
        .sum();
    let open = admission.limit.limit().saturating_sub(kept_for_others);
    if admission.limit.in_flight() >= open {
        return false;
    }
    let slots = admission.templates.entry(template.clone()).or_default();
    slots.reserve = bounds.reserve;
    if bounds
        .concurrency_limit
        .is_some_and(|limit| slots.in_flight >= limit)
    {
        return false;
    }
    if !admission.limit.try_acquire() {
        return false;
    }
    slots.in_flight += 1;
    true
}

fn release_template(admission: &mut Admission, template: &TemplateName) {
    if let Some(slots) = admission.templates.get_mut(template) {
        slots.in_flight = slots.in_flight.saturating_sub(1);
    }
}

/// Frees the slot of a finished attempt, learns from its latency and admits the next.
pub fn release(tables: &mut Tables, execution: &Execution, sample: Sample, now: Instant) {
    release_template(&mut tables.admission, &execution.template);
    tables.admission.limit.release(sample, now);
    fill_slots(tables, now);
}

/// Refuses those who waited too long, adapts the limit and the level, fills free slots.
pub fn run(tables: &mut Tables, now: Instant) {
    let service_time = tables.admission.service_time.average();
    tables
        .admission
        .queue
        .set_expected_service_time(service_time);
    for expired in tables.admission.queue.expire(now) {
        let refusal = if expired.execution.deadline <= now {
            deadline_passed()
        } else {
            overloaded(WAITED_TOO_LONG)
        };
        refuse(&mut tables.admission, expired, refusal);
    }
    tables.admission.limit.tick(now);
    tables.admission.level.tick(now);
    fill_slots(tables, now);
}

fn refuse(admission: &mut Admission, applicant: Applicant, refusal: Refusal) {
    admission
        .level
        .record_refused(applicant.execution.criticality);
    admission.note_evicted(&applicant.execution, &refusal);
    // Nobody is left to tell when the receiver is gone.
    let _ = applicant.reply.send(Err(refusal));
}

/// A sample that says nothing about load.
#[must_use]
pub fn ignored_sample() -> Sample {
    Sample {
        latency: std::time::Duration::ZERO,
        result: tallybridge_overload::SampleResult::Ignore,
        kind: 0,
    }
}

/// Time after which a shed caller may try again; long enough to outlast a burst, short enough not
/// to leave slots idle after one.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// The refusal of a call that the back end's limit leaves no room for.
#[must_use]
pub fn overloaded(detail: &str) -> Refusal {
    Refusal::new(ErrorKind::Overloaded, detail).with_retry_after(RETRY_AFTER)
}

fn deadline_passed() -> Refusal {
    Refusal::new(
        ErrorKind::DeadlineExceeded,
        "the deadline passed before a slot was free",
    )
}
