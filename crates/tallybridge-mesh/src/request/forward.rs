//! A call on its way: attempts at executors until there is an answer.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tallybridge_core::{ErrorKind, Outcome, Refusal};
use tokio::time::Instant;

use super::execute::{Answered, Executed, execute, is_undispatched};
use crate::{
    clock::{BootInstant, timeout_at},
    configuration::{Route, tenants::Tenant},
    http::Answer,
    link::{Link, LinkError, Reply},
    node::Node,
    protocol::CallMessage,
    tables::{Executor, FirstAttempt, PlacementQuery},
};

/// Times a call is sent elsewhere after refusals that reached no back end.
const MAX_REROUTES: usize = 4;

/// A request on its way.
pub struct Call {
    /// Its route.
    pub route: Arc<Route>,
    /// The service that answers it.
    pub service: Arc<str>,
    /// The tenant that it is made for; `None` where no key is needed.
    pub tenant: Option<Arc<Tenant>>,
    /// What is sent to executors.
    pub message: CallMessage,
    /// When its answer must be there.
    pub deadline: BootInstant,
    /// Until when it may wait for a slot.
    pub wait_until: BootInstant,
}

/// What became of one attempt.
enum Attempted {
    Answered(Answered),
    Refused(Refusal),
}

/// A call that ended without an answer.
#[derive(Debug)]
pub struct Unanswered {
    /// Why, and whether it may have run.
    pub refusal: Refusal,
    /// Executors that were tried.
    pub tried: usize,
}

impl Unanswered {
    /// A call that was sent to nobody.
    #[must_use]
    pub const fn untried(refusal: Refusal) -> Self {
        Self { refusal, tried: 0 }
    }
}

/// Where a call stands after the attempts so far.
struct Progress {
    tried: Vec<SocketAddr>,
    back_ends: u32,
    may_have_run: bool,
    last: Refusal,
    /// A back end's own failure, which is the answer unless another one does better.
    failure: Option<Answered>,
}

impl Progress {
    fn new() -> Self {
        Self {
            tried: Vec::new(),
            back_ends: 0,
            may_have_run: false,
            last: Refusal::new(ErrorKind::NoBackend, "no back end takes work"),
            failure: None,
        }
    }

    /// How the call ends after its last attempt.
    fn into_result(self) -> Result<Answered, Unanswered> {
        if let Some(failure) = self.failure {
            return Ok(failure);
        }
        Err(Unanswered {
            tried: self.tried.len(),
            refusal: self.into_refusal(),
        })
    }

    /// The refusal that the call ends with. It says that nothing ran only if nothing did.
    fn into_refusal(self) -> Refusal {
        if self.may_have_run {
            return self.last.with_outcome(Outcome::Unknown);
        }
        self.last
    }
}

/// Sends a call until there is an answer, or nothing more may be done.
///
/// # Errors
///
/// A refusal that says whether the call may have run.
pub async fn forward(node: &Arc<Node>, call: &Call) -> Result<Answered, Unanswered> {
    let sending = FirstAttempt {
        is_below_retry: call.message.is_retry,
    };
    node.record_first_attempt(&call.service, sending);
    let mut progress = Progress::new();
    if BootInstant::now() >= call.deadline {
        // It lay unread for so long, as when this machine was suspended.
        let detail = "its time was up when it was read";
        let refusal = Refusal::new(ErrorKind::DeadlineExceeded, detail);
        return Err(Unanswered::untried(refusal));
    }
    for _ in 0..=MAX_REROUTES {
        let Some(target) = choose(node, call, &progress.tried) else {
            break;
        };
        progress.tried.push(target.address);
        let address = target.address;
        let is_retry = call.message.is_retry || progress.back_ends > 0;
        let untouched = match attempt(node, call, is_retry, target).await {
            Attempted::Answered(answered)
                if is_worth_another(node, call, address, &answered.answer) =>
            {
                progress.may_have_run = true;
                progress.failure = Some(answered);
                false
            }
            Attempted::Answered(answered) => return Ok(answered),
            Attempted::Refused(refusal) => {
                let untouched = is_undispatched(&refusal);
                progress.may_have_run |= refusal.outcome != Outcome::NotRun;
                progress.last = refusal;
                untouched
            }
        };
        let is_quarantined = progress.last.kind == ErrorKind::Quarantined;
        if BootInstant::now() >= call.deadline || is_quarantined {
            break;
        }
        if untouched {
            continue;
        }
        progress.back_ends += 1;
        if !may_send_again(node, call, &progress) {
            break;
        }
        // The back end that it was sent to may be one of several that ended under it.
        if let Err(refusal) = node.refuse_quarantined(&call.message) {
            progress.last = refusal;
            break;
        }
    }
    progress.into_result()
}

/// Whether a failure says more of its back end than of the call: that back end fails far more
/// calls than others of its service, so another one may well succeed.
fn is_worth_another(node: &Node, call: &Call, executor: SocketAddr, answer: &Answer) -> bool {
    let is_failure = answer.status >= 500;
    if !is_failure || !call.message.is_idempotent {
        return false;
    }
    let choice = choice(node, call, &[]);
    node.with_peers(|peers| peers.is_outlier(&choice, executor, Instant::now()))
}

/// Whether a call that reached a back end may be sent to another one.
fn may_send_again(node: &Node, call: &Call, progress: &Progress) -> bool {
    if !node.settings.policy.repeats || (progress.may_have_run && !call.message.is_idempotent) {
        return false;
    }
    if progress.back_ends >= call.route.max_attempts {
        return false;
    }
    let paid = node.withdraw_retry(&call.service, call.message.is_urgent);
    if paid {
        node.counters.repeats.fetch_add(1, Ordering::Relaxed);
    }
    paid
}

/// An executor that was chosen.
struct Target {
    address: SocketAddr,
    executor: Executor,
}

fn choice<'a>(node: &Node, call: &'a Call, tried: &'a [SocketAddr]) -> PlacementQuery<'a> {
    let is_own = *call.service == *node.settings.backend.service;
    let takes_work = is_own && !node.refuses_work() && node.instance_for_work().is_some();
    PlacementQuery {
        service: &call.service,
        local: takes_work.then(|| node.load()),
        tried,
        is_idempotent: call.message.is_idempotent,
    }
}

fn choose(node: &Node, call: &Call, tried: &[SocketAddr]) -> Option<Target> {
    let choice = choice(node, call, tried);
    let executor = node.with_peers(|peers| peers.choose(&choice, Instant::now()))?;
    let address = match &executor {
        Executor::Local => node.record.address,
        Executor::Peer(address, _) => *address,
    };
    Some(Target { address, executor })
}

/// Runs one attempt and takes in what it shows of its executor.
async fn attempt(node: &Arc<Node>, call: &Call, is_retry: bool, target: Target) -> Attempted {
    let Target { address, executor } = target;
    let now = BootInstant::now();
    let message = CallMessage {
        remaining_ms: milliseconds(call.deadline.saturating_duration_since(now)),
        wait_ms: milliseconds(call.wait_until.saturating_duration_since(now)),
        is_retry,
        ..call.message.clone()
    };
    let executing = async {
        match executor {
            Executor::Local => executed(execute(node, message).await),
            Executor::Peer(address, link) => send(node, address, &link, message).await,
        }
    };
    let attempted = timeout_at(call.deadline, executing).await;
    let attempted = attempted.unwrap_or_else(|_| {
        let detail = "no answer before the deadline";
        Attempted::Refused(Refusal::new(ErrorKind::BackendTimeout, detail))
    });
    note_outcome(node, address, &attempted);
    attempted
}

fn note_outcome(node: &Node, address: SocketAddr, attempted: &Attempted) {
    let refusal = match attempted {
        Attempted::Answered(_) => None,
        Attempted::Refused(refusal) => Some(refusal),
    };
    let is_lost = refusal.is_some_and(|refusal| refusal.outcome == Outcome::Unknown);
    node.with_peers(|peers| {
        peers.outcome(address, is_lost);
        let is_of_executor = |refusal: &Refusal| refusal.kind != ErrorKind::Quarantined;
        if refusal.is_some_and(|refusal| is_undispatched(refusal) && is_of_executor(refusal)) {
            peers.avoid(address, Instant::now());
        }
    });
}

fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn executed(executed: Executed) -> Attempted {
    match executed {
        Executed::Answered(answered) => Attempted::Answered(answered),
        Executed::Refused(refusal) => Attempted::Refused(refusal),
    }
}

async fn send(
    node: &Arc<Node>,
    address: SocketAddr,
    link: &Arc<Link>,
    message: CallMessage,
) -> Attempted {
    let mut under_way = match link.call(message) {
        Ok(under_way) => under_way,
        Err(error) => {
            let refusal = Refusal::new(ErrorKind::PeerLost, error.to_string());
            return Attempted::Refused(refusal.with_outcome(Outcome::NotRun));
        }
    };
    node.with_peers(|peers| peers.sent(address));
    match under_way.reply().await {
        Ok(Reply::Answer {
            status,
            made_calls,
            times,
            head,
            body,
            ..
        }) => Attempted::Answered(Answered {
            answer: Answer {
                status,
                headers: head.to_vec(),
                body,
            },
            made_calls,
            times,
        }),
        Ok(Reply::Refusal {
            kind,
            outcome,
            retry_after_ms,
            ..
        }) => Attempted::Refused(peer_refusal(kind, outcome, retry_after_ms)),
        Ok(Reply::Quota(_)) => {
            let detail = "peer answered a call with a grant";
            Attempted::Refused(Refusal::new(ErrorKind::PeerLost, detail))
        }
        Err(error @ (LinkError::Lost | LinkError::NotSent)) => {
            node.with_peers(|peers| peers.avoid(address, Instant::now()));
            Attempted::Refused(Refusal::new(ErrorKind::PeerLost, error.to_string()))
        }
    }
}

/// A refusal as a peer told it; one that can't be read promises nothing.
fn peer_refusal(kind: u8, outcome: u8, retry_after_ms: u32) -> Refusal {
    let kind = ErrorKind::from_wire(kind).unwrap_or(ErrorKind::PeerLost);
    let outcome = Outcome::from_wire(outcome).unwrap_or(Outcome::Unknown);
    let refusal = Refusal::new(kind, "refused by the executor").with_outcome(outcome);
    if retry_after_ms == 0 {
        return refusal;
    }
    refusal.with_retry_after(Duration::from_millis(retry_after_ms.into()))
}
