//! Messages that end a call: the answer of the back end, or a refusal by the executor.

use std::time::Duration;

use bytes::Bytes;
use deku::prelude::*;
use tallybridge_core::{ErrorKind, Outcome};

use super::{
    Load, SlotTimes,
    codec::{put_fields, take_bytes, take_fields},
};

/// The complete HTTP response of a back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerMessage {
    /// HTTP status code.
    pub status: u16,
    /// Whether the back end made nested calls to produce the answer.
    pub made_calls: bool,
    /// Slot time used by the call and its nested calls, by service.
    pub times: SlotTimes,
    /// Load of the back end at the time the answer was sent.
    pub load: Load,
    /// Header lines, each terminated by CR LF.
    pub head: Bytes,
    /// Complete response body.
    pub body: Bytes,
}

/// Reports that a call ended without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalMessage {
    /// Reason for the refusal. An unknown value is decoded as [`ErrorKind::PeerLost`].
    pub kind: ErrorKind,
    /// Whether the call ran. An unknown value is decoded as [`Outcome::Unknown`].
    pub outcome: Outcome,
    /// Delay after which the caller may try again, with millisecond resolution on the wire.
    pub retry_after: Option<Duration>,
    /// Load of the back end at the time the refusal was sent.
    pub load: Load,
}

/// Fixed fields of an answer, which precede the slot times, the head and the body.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct AnswerFields {
    status: u16,
    made_calls: u8,
    head_length: u32,
    load: Load,
    /// Number of [`ServiceTime`](super::ServiceTime) entries that follow.
    times: u8,
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct RefusalFields {
    kind: u8,
    outcome: u8,
    /// 0 when the refusal has no delay.
    retry_after_ms: u32,
    load: Load,
}

impl AnswerMessage {
    pub(super) fn encode_without_body(&self, out: &mut Vec<u8>) {
        let fields = AnswerFields {
            status: self.status,
            made_calls: self.made_calls.into(),
            head_length: self.head.len() as u32,
            load: self.load,
            times: self.times.encoded_count(),
        };
        put_fields(&fields, out);
        self.times.encode(out);
        out.reserve(self.head.len());
        out.extend_from_slice(&self.head);
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
        let retry_after_ms = self.retry_after.map_or(0, |delay| delay.as_millis() as u32);
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
        let retry_after_ms = Some(fields.retry_after_ms).filter(|delay_ms| *delay_ms > 0);
        Some(Self {
            kind: ErrorKind::from_wire(fields.kind).unwrap_or(ErrorKind::PeerLost),
            outcome: Outcome::from_wire(fields.outcome).unwrap_or(Outcome::Unknown),
            retry_after: retry_after_ms.map(|delay_ms| Duration::from_millis(delay_ms.into())),
            load: fields.load,
        })
    }
}
