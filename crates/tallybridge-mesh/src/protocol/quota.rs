//! Messages between an entry and the owner of a tenant's quota: requests for tokens, and grants.
//!
//! Both carry the recent grants of all owners, so that a new owner learns what its predecessors
//! granted. [`tables::quotas`](crate::tables::quotas) decides what is granted.

use std::time::Duration;

use bytes::Bytes;
use deku::prelude::*;

use super::codec::{put_fields, take_bytes, take_fields};

/// A [`QuotaRequest`] with its tenant, as sent over a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaRequestMessage {
    /// Name of the tenant.
    pub tenant: Bytes,
    /// The request itself.
    pub request: QuotaRequest,
    /// Whether the sender forwards the request of an entry that cannot reach the owner.
    pub is_forwarded: bool,
}

/// A request of an entry for tokens of a tenant's quota.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Process number of the entry, from [`NodeRecord::process`](super::NodeRecord::process).
    pub entry: u64,
    /// Number of tokens requested in addition to the first.
    pub extra_tokens: u32,
    /// Number of the tenant's requests that the entry admitted within the last window, under any owner.
    pub admitted: u32,
    /// Grants of all owners within the last window, as far as the entry knows them.
    pub spending: WindowSpending,
}

/// Reply to a [`QuotaRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaGrant {
    /// The tenant is within its quota.
    Tokens {
        /// Number of granted tokens, at least one.
        tokens: u32,
        /// Grants of all owners within the last window, including this one.
        spending: WindowSpending,
    },
    /// The tenant has used up its quota.
    Exhausted {
        /// Expected time until a token is available, with millisecond resolution on the wire.
        wait: Duration,
        /// Grants of all owners within the last window.
        spending: WindowSpending,
    },
    /// The node does not own the tenant's quota, or does not yet know the earlier grants.
    NotOwner,
}

/// Grants of one owner in one epoch, which is a period of uninterrupted ownership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EpochSpending {
    /// Random id of the epoch.
    pub epoch: u32,
    /// Tokens granted since the start of the epoch. The report with the greatest total is the newest.
    pub total: u32,
    /// Time since the start of the newest part of the window, in milliseconds.
    pub age_ms: u16,
    /// Tokens granted in each part of the window, newest first, without trailing zeros.
    pub requests: Vec<u16>,
}

/// Grants within the last window, by epoch.
pub type WindowSpending = Vec<EpochSpending>;

/// Fixed fields of a request, which precede the epochs and the name of the tenant.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct QuotaRequestFields {
    entry: u64,
    ahead: u32,
    spent: u32,
    is_forwarded: u8,
    epochs: u8,
}

/// Fixed fields of a grant, which precede the epochs.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct QuotaGrantFields {
    /// One of [`grant_kind`].
    kind: u8,
    /// Number of tokens, or the time to wait in milliseconds, by kind.
    amount: u32,
    epochs: u8,
}

/// Fixed fields of an epoch, which precede the parts of the window as two bytes each.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct EpochFields {
    epoch: u32,
    total: u32,
    age_ms: u16,
    parts: u8,
}

/// Values of [`QuotaGrantFields::kind`].
mod grant_kind {
    pub const NOT_OWNER: u8 = 0;
    pub const TOKENS: u8 = 1;
    pub const EXHAUSTED: u8 = 2;
}

impl QuotaRequestMessage {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let fields = QuotaRequestFields {
            entry: self.request.entry,
            ahead: self.request.extra_tokens,
            spent: self.request.admitted,
            is_forwarded: self.is_forwarded.into(),
            epochs: saturated_length(&self.request.spending),
        };
        put_fields(&fields, out);
        encode_epochs(&self.request.spending, out);
        out.extend_from_slice(&self.tenant);
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: QuotaRequestFields = take_fields(&mut payload)?;
        let spending = decode_epochs(&mut payload, fields.epochs)?;
        Some(Self {
            tenant: payload,
            request: QuotaRequest {
                entry: fields.entry,
                extra_tokens: fields.ahead,
                admitted: fields.spent,
                spending,
            },
            is_forwarded: fields.is_forwarded != 0,
        })
    }
}

impl QuotaGrant {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let (kind, amount, spending): (u8, u32, &[EpochSpending]) = match self {
            Self::NotOwner => (grant_kind::NOT_OWNER, 0, &[]),
            Self::Tokens { tokens, spending } => (grant_kind::TOKENS, *tokens, spending),
            Self::Exhausted { wait, spending } => {
                let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
                (grant_kind::EXHAUSTED, wait_ms, spending)
            }
        };
        let fields = QuotaGrantFields {
            kind,
            amount,
            epochs: saturated_length(spending),
        };
        put_fields(&fields, out);
        encode_epochs(spending, out);
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: QuotaGrantFields = take_fields(&mut payload)?;
        let spending = decode_epochs(&mut payload, fields.epochs)?;
        match fields.kind {
            grant_kind::NOT_OWNER => Some(Self::NotOwner),
            grant_kind::TOKENS => Some(Self::Tokens {
                tokens: fields.amount,
                spending,
            }),
            grant_kind::EXHAUSTED => Some(Self::Exhausted {
                wait: Duration::from_millis(fields.amount.into()),
                spending,
            }),
            _ => None,
        }
    }
}

impl EpochSpending {
    fn encode(&self, out: &mut Vec<u8>) {
        let fields = EpochFields {
            epoch: self.epoch,
            total: self.total,
            age_ms: self.age_ms,
            parts: saturated_length(&self.requests),
        };
        put_fields(&fields, out);
        for tokens in self.requests.iter().take(fields.parts.into()) {
            out.extend_from_slice(&tokens.to_be_bytes());
        }
    }

    fn decode(payload: &mut Bytes) -> Option<Self> {
        let fields: EpochFields = take_fields(payload)?;
        let parts = take_bytes(payload, usize::from(fields.parts) * size_of::<u16>())?;
        let part_bytes = parts.chunks_exact(size_of::<u16>());
        Some(Self {
            epoch: fields.epoch,
            total: fields.total,
            age_ms: fields.age_ms,
            requests: part_bytes
                .map(|part| u16::from_be_bytes([part[0], part[1]]))
                .collect(),
        })
    }
}

/// Returns the value of the length field of a list. Items beyond the first 255 are not sent.
fn saturated_length<T>(list: &[T]) -> u8 {
    u8::try_from(list.len()).unwrap_or(u8::MAX)
}

fn encode_epochs(epochs: &[EpochSpending], out: &mut Vec<u8>) {
    for epoch in epochs.iter().take(saturated_length(epochs).into()) {
        epoch.encode(out);
    }
}

fn decode_epochs(payload: &mut Bytes, count: u8) -> Option<WindowSpending> {
    (0..count).map(|_| EpochSpending::decode(payload)).collect()
}
