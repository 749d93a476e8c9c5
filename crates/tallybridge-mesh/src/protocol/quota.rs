//! Messages between an entry and the owner of a tenant's rate limit: what the entry asks for, what the
//! owner grants, and what owners have granted so far. The rule:
//! [`tables::quotas`](crate::tables::quotas).

use std::time::Duration;

use bytes::Bytes;
use deku::prelude::*;

use super::codec::{put_fields, take_bytes, take_fields};

/// Asks the owner of a tenant's rate limit for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaAskMessage {
    /// The tenant's name.
    pub tenant: Bytes,
    /// What the entry asks for.
    pub ask: QuotaAsk,
    /// Whether the sender asks for another node, which can't reach the owner itself.
    pub is_forwarded: bool,
}

/// What an entry asks the owner of a tenant's rate limit for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuotaAsk {
    /// The entry: the number of its process.
    pub entry: u64,
    /// Tokens that are wanted beyond the first.
    pub ahead: u32,
    /// Requests of the tenant that the entry admitted within the last window, whoever was owner.
    pub spent: u32,
    /// What owners granted within the last window, as far as the entry knows.
    pub fleet: WindowSpending,
}

/// The answer of the node that was asked for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuotaGrant {
    /// The tenant is within its limit.
    Tokens {
        /// Tokens that the entry gets, at least one.
        tokens: u32,
        /// What owners granted within the last window, these tokens included.
        fleet: WindowSpending,
    },
    /// The tenant is at its limit.
    Spent {
        /// Time after which a token is likely to be free, to the millisecond.
        wait: Duration,
        /// What owners granted within the last window.
        fleet: WindowSpending,
    },
    /// The node does not own the tenant's limit, or can't tell yet what was granted before.
    NotOwner,
}

/// What one owner granted in one epoch, the time for which it is owner without a break.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EpochSpending {
    /// Number of the epoch, drawn at random.
    pub epoch: u32,
    /// Tokens granted since the epoch began. Of two reports the one with the greater total is newer.
    pub total: u32,
    /// Time since the newest part of the window began, in milliseconds.
    pub age_ms: u16,
    /// Tokens granted in each part of the window, the newest first, up to the last that has any.
    pub requests: Vec<u16>,
}

/// What is known of all epochs within the last window.
pub type WindowSpending = Vec<EpochSpending>;

/// The epochs and the tenant's name follow.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct QuotaAskFields {
    entry: u64,
    ahead: u32,
    spent: u32,
    is_forwarded: u8,
    epochs: u8,
}

/// The epochs follow.
#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct QuotaGrantFields {
    /// One of [`grant_kind`].
    kind: u8,
    /// Tokens, or the time to wait in milliseconds.
    amount: u32,
    epochs: u8,
}

/// The parts of the window follow, two bytes each.
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
    pub const SPENT: u8 = 2;
}

impl QuotaAskMessage {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let fields = QuotaAskFields {
            entry: self.ask.entry,
            ahead: self.ask.ahead,
            spent: self.ask.spent,
            is_forwarded: self.is_forwarded.into(),
            epochs: saturated_length(&self.ask.fleet),
        };
        put_fields(&fields, out);
        encode_epochs(&self.ask.fleet, out);
        out.extend_from_slice(&self.tenant);
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: QuotaAskFields = take_fields(&mut payload)?;
        let fleet = decode_epochs(&mut payload, fields.epochs)?;
        Some(Self {
            tenant: payload,
            ask: QuotaAsk {
                entry: fields.entry,
                ahead: fields.ahead,
                spent: fields.spent,
                fleet,
            },
            is_forwarded: fields.is_forwarded != 0,
        })
    }
}

impl QuotaGrant {
    pub(super) fn encode(&self, out: &mut Vec<u8>) {
        let (kind, amount, fleet): (u8, u32, &[EpochSpending]) = match self {
            Self::NotOwner => (grant_kind::NOT_OWNER, 0, &[]),
            Self::Tokens { tokens, fleet } => (grant_kind::TOKENS, *tokens, fleet),
            Self::Spent { wait, fleet } => {
                let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
                (grant_kind::SPENT, wait_ms, fleet)
            }
        };
        let fields = QuotaGrantFields {
            kind,
            amount,
            epochs: saturated_length(fleet),
        };
        put_fields(&fields, out);
        encode_epochs(fleet, out);
    }

    pub(super) fn decode(mut payload: Bytes) -> Option<Self> {
        let fields: QuotaGrantFields = take_fields(&mut payload)?;
        let fleet = decode_epochs(&mut payload, fields.epochs)?;
        match fields.kind {
            grant_kind::NOT_OWNER => Some(Self::NotOwner),
            grant_kind::TOKENS => Some(Self::Tokens {
                tokens: fields.amount,
                fleet,
            }),
            grant_kind::SPENT => Some(Self::Spent {
                wait: Duration::from_millis(fields.amount.into()),
                fleet,
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
        for requests in self.requests.iter().take(fields.parts.into()) {
            out.extend_from_slice(&requests.to_be_bytes());
        }
    }

    fn decode(payload: &mut Bytes) -> Option<Self> {
        let fields: EpochFields = take_fields(payload)?;
        let parts = take_bytes(payload, usize::from(fields.parts) * size_of::<u16>())?;
        let requests = parts.chunks_exact(size_of::<u16>());
        Some(Self {
            epoch: fields.epoch,
            total: fields.total,
            age_ms: fields.age_ms,
            requests: requests
                .map(|part| u16::from_be_bytes([part[0], part[1]]))
                .collect(),
        })
    }
}

/// Length of a list as its length field gives it. What does not fit is not sent.
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
