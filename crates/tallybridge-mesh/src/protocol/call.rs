//! The message that carries a call from its entry to an executor.

use bytes::Bytes;
use deku::prelude::*;

use super::codec::{put_fields, take_bytes, take_fields};

/// A call to the back end of the receiving node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallMessage {
    /// Time until the deadline of the call, in milliseconds.
    pub remaining_ms: u32,
    /// Maximum time that the call may wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Wire value of a [`tallybridge_core::Criticality`].
    pub criticality: u8,
    /// Number of the route, by which the executor groups calls of similar duration.
    pub route_number: u16,
    /// Whether the call may safely run more than once.
    pub is_idempotent: bool,
    /// Whether the request at the root of the call chain has the highest priority.
    pub is_urgent: bool,
    /// Whether this call or one of its ancestors in the call chain is a retry.
    pub is_retry: bool,
    /// Whether the request method is HEAD, so that the answer has no body.
    pub is_head_request: bool,
    /// Attempt id, which the back end repeats in its answer.
    pub attempt: Bytes,
    /// Request line and header lines, without the empty line that ends them.
    pub head: Bytes,
    /// Complete request body.
    pub body: Bytes,
}

/// Bit masks of [`CallFields::flags`].
mod flag {
    pub const IDEMPOTENT: u8 = 1;
    pub const HEAD_REQUEST: u8 = 2;
    pub const URGENT: u8 = 4;
    pub const RETRY: u8 = 8;
}

/// Fixed fields of a call, which precede the attempt id, the head and the body.
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
    pub(super) fn encode_without_body(&self, out: &mut Vec<u8>) {
        let fields = CallFields {
            remaining_ms: self.remaining_ms,
            wait_ms: self.wait_ms,
            criticality: self.criticality,
            flags: self.flags(),
            kind: self.route_number,
            attempt_length: self.attempt.len() as u16,
            head_length: self.head.len() as u32,
        };
        put_fields(&fields, out);
        out.reserve(self.attempt.len() + self.head.len());
        out.extend_from_slice(&self.attempt);
        out.extend_from_slice(&self.head);
    }

    fn flags(&self) -> u8 {
        let flags = [
            (self.is_idempotent, flag::IDEMPOTENT),
            (self.is_head_request, flag::HEAD_REQUEST),
            (self.is_urgent, flag::URGENT),
            (self.is_retry, flag::RETRY),
        ];
        let set_flags = flags.into_iter().filter(|(is_set, _)| *is_set);
        set_flags.fold(0, |bits, (_, mask)| bits | mask)
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: CallFields = take_fields(&mut payload)?;
        Some(Self {
            remaining_ms: fields.remaining_ms,
            wait_ms: fields.wait_ms,
            criticality: fields.criticality,
            route_number: fields.kind,
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
