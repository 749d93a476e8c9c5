//! A call over a link, as its entry node sees it.

use tallybridge_core::{ErrorKind, NodeId, Outcome, Refusal};
use tallybridge_wire::{AnswerHead, CallHead, Message, Text, WireHeaders};

use super::{PeerFailure, links::PeerLinks};
use crate::{
    actor::executions::Closing,
    path::{Executed, WholeAnswer},
};

/// Carries a call to the executing node and waits for the whole answer.
///
/// # Errors
///
/// [`PeerFailure`], which says whether the call may have run.
pub async fn call_peer(
    links: &PeerLinks,
    node: NodeId,
    head: CallHead,
    body: &[u8],
) -> Result<Executed, PeerFailure> {
    let link = links.link_to(node).await?;
    let reply = link.request(Message::Call(head), body).await?;
    match reply.message {
        Message::Answer(head) => executed(head, reply.body),
        other => Err(PeerFailure::Lost(format!(
            "the peer answered a call with message kind {}",
            other.kind()
        ))),
    }
}

/// Reads an answer's head.
fn executed(head: AnswerHead, body: bytes::Bytes) -> Result<Executed, PeerFailure> {
    let malformed = || PeerFailure::Lost("the peer's answer is malformed".to_owned());
    let outcome = Outcome::from_wire(head.outcome).ok_or_else(malformed)?;
    let result = if outcome == Outcome::Completed {
        Ok(WholeAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    } else {
        let kind = ErrorKind::from_wire(head.error_kind).ok_or_else(malformed)?;
        let refusal = Refusal::new(kind, head.detail.to_string_lossy()).with_outcome(outcome);
        Err(with_retry_after(refusal, head.retry_after_ms))
    };
    Ok(Executed {
        result,
        reached_backend: head.reached_backend != 0,
        outcome_settled: head.outcome_settled != 0,
        closing: Closing {
            unused_allowance: head.unused_allowance,
            load: head.load.into(),
        },
    })
}

fn with_retry_after(refusal: Refusal, retry_after_ms: u32) -> Refusal {
    if retry_after_ms == 0 {
        return refusal;
    }
    refusal.with_retry_after(std::time::Duration::from_millis(retry_after_ms.into()))
}

/// Writes an answer's head; its body is sent after it.
#[must_use]
pub fn answer_head(executed: &Executed) -> AnswerHead {
    let closing = executed.closing;
    let unanswered = AnswerHead {
        outcome: Outcome::Unknown as u8,
        error_kind: 0,
        reached_backend: u8::from(executed.reached_backend),
        outcome_settled: u8::from(executed.outcome_settled),
        status: 0,
        unused_allowance: closing.unused_allowance,
        retry_after_ms: 0,
        load: closing.load.into(),
        detail: Text::default(),
        headers: WireHeaders::default(),
        body_length: 0,
        body_checksum: crc32fast::hash(&[]),
    };
    match &executed.result {
        Ok(answer) => AnswerHead {
            outcome: Outcome::Completed as u8,
            status: answer.status,
            headers: answer.headers.clone(),
            body_length: u32::try_from(answer.body.len()).unwrap_or(u32::MAX),
            body_checksum: crc32fast::hash(&answer.body),
            ..unanswered
        },
        Err(refusal) => AnswerHead {
            outcome: refusal.outcome as u8,
            error_kind: refusal.kind as u8,
            retry_after_ms: refusal.retry_after.map_or(0, |after| {
                u32::try_from(after.as_millis()).unwrap_or(u32::MAX)
            }),
            detail: Text::new(&refusal.detail),
            ..unanswered
        },
    }
}
