//! A call on its way from its entry to an executor.

use bytes::Bytes;
use deku::prelude::*;

use super::codec::{put_fields, take_bytes, take_fields};

/// A call for the back end beside the receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallMessage {
    /// Time until its deadline, in milliseconds.
    pub remaining_ms: u32,
    /// Longest that it may wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Its class, as [`tallybridge_core::Criticality`] is numbered.
    pub criticality: u8,
    /// Number of its route: calls of one route take about the same time.
    pub kind: u16,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether the request at the root of its chain is of the highest priority.
    pub is_urgent: bool,
    /// Whether it, or a call above it in its chain, is a retry.
    pub is_retry: bool,
    /// Whether its answer has no body.
    pub is_head_request: bool,
    /// The caller's name of the attempt, which the answer must repeat.
    pub attempt: Bytes,
    /// Request line and header lines, without the empty line.
    pub head: Bytes,
    /// The complete body.
    pub body: Bytes,
}

/// Bits of [`CallFields::flags`].
mod flag {
    pub const IDEMPOTENT: u8 = 1;
    pub const HEAD_REQUEST: u8 = 2;
    pub const URGENT: u8 = 4;
    pub const RETRY: u8 = 8;
}

/// The attempt, the head and the body follow.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct CallFields {
    remaining_ms: u32,
    wait_ms: u32,
    criticality: u8,
    flags: u8,
    kind: u16,
    attempt_length: u16,
    head_length: u32,
}

impl CallMessage {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let fields = CallFields {
            remaining_ms: self.remaining_ms,
            wait_ms: self.wait_ms,
            criticality: self.criticality,
            flags: self.flags(),
            kind: self.kind,
            attempt_length: self.attempt.len() as u16,
            head_length: self.head.len() as u32,
        };
        put_fields(&fields, out);
        out.reserve(self.attempt.len() + self.head.len() + self.body.len());
        out.extend_from_slice(&self.attempt);
        out.extend_from_slice(&self.head);
        out.extend_from_slice(&self.body);
    }

    fn flags(&self) -> u8 {
        let flags = [
            (self.is_idempotent, flag::IDEMPOTENT),
            (self.is_head_request, flag::HEAD_REQUEST),
            (self.is_urgent, flag::URGENT),
            (self.is_retry, flag::RETRY),
        ];
        let set = flags.into_iter().filter(|(is_set, _)| *is_set);
        set.fold(0, |bits, (_, bit)| bits | bit)
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: CallFields = take_fields(&mut payload)?;
        Some(Self {
            remaining_ms: fields.remaining_ms,
            wait_ms: fields.wait_ms,
            criticality: fields.criticality,
            kind: fields.kind,
            is_idempotent: fields.flags & flag::IDEMPOTENT != 0,
            is_urgent: fields.flags & flag::URGENT != 0,
            is_retry: fields.flags & flag::RETRY != 0,
            is_head_request: fields.flags & flag::HEAD_REQUEST != 0,
            attempt: take_bytes(&mut payload, fields.attempt_length.into())?,
            head: take_bytes(&mut payload, fields.head_length as usize)?,
            body: payload,
        })
    }
}
