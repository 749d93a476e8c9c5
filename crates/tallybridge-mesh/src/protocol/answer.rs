//! How a call ended at its executor: with an answer of the back end, or with a refusal.

use std::time::Duration;

use bytes::Bytes;
use deku::prelude::*;
use tallybridge_core::{ErrorKind, Outcome};

use super::{
    Load, SlotTimes,
    codec::{put_fields, take_bytes, take_fields},
};

/// The complete answer of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerMessage {
    /// Its HTTP status.
    pub status: u16,
    /// Whether the back end made nested calls for it.
    pub made_calls: bool,
    /// Slot time that the call and its nested calls took, by service.
    pub times: SlotTimes,
    /// Load of the back end when the answer was sent.
    pub load: Load,
    /// Its header lines, each ended by CR LF.
    pub head: Bytes,
    /// Its body.
    pub body: Bytes,
}

/// A call that ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalMessage {
    /// Why. A kind that this node does not know reads as [`ErrorKind::PeerLost`].
    pub kind: ErrorKind,
    /// Whether it ran. An outcome that this node does not know reads as [`Outcome::Unknown`], which
    /// promises nothing.
    pub outcome: Outcome,
    /// Time after which the caller may try again, to the millisecond.
    pub retry_after: Option<Duration>,
    /// Load of the back end when the refusal was sent.
    pub load: Load,
}

/// The slot times, the head and the body follow.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct AnswerFields {
    status: u16,
    made_calls: u8,
    head_length: u32,
    load: Load,
    /// Number of services in the slot times.
    times: u8,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct RefusalFields {
    kind: u8,
    outcome: u8,
    /// 0 for none.
    retry_after_ms: u32,
    load: Load,
}

impl AnswerMessage {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let fields = AnswerFields {
            status: self.status,
            made_calls: self.made_calls.into(),
            head_length: self.head.len() as u32,
            load: self.load,
            times: self.times.encoded_count(),
        };
        put_fields(&fields, out);
        self.times.encode(out);
        out.reserve(self.head.len() + self.body.len());
        out.extend_from_slice(&self.head);
        out.extend_from_slice(&self.body);
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: AnswerFields = take_fields(&mut payload)?;
        let times = SlotTimes::decode(&mut payload, fields.times)?;
        Some(Self {
            status: fields.status,
            made_calls: fields.made_calls != 0,
            times,
            load: fields.load,
            head: take_bytes(&mut payload, fields.head_length as usize)?,
            body: payload,
        })
    }
}

impl RefusalMessage {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let retry_after_ms = self.retry_after.map_or(0, |after| after.as_millis() as u32);
        let fields = RefusalFields {
            kind: self.kind as u8,
            outcome: self.outcome as u8,
            retry_after_ms,
            load: self.load,
        };
        put_fields(&fields, out);
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: RefusalFields = take_fields(&mut payload)?;
        let retry_after_ms = Some(fields.retry_after_ms).filter(|milliseconds| *milliseconds > 0);
        Some(Self {
            kind: ErrorKind::from_wire(fields.kind).unwrap_or(ErrorKind::PeerLost),
            outcome: Outcome::from_wire(fields.outcome).unwrap_or(Outcome::Unknown),
            retry_after: retry_after_ms.map(|after| Duration::from_millis(after.into())),
            load: fields.load,
        })
    }
}
