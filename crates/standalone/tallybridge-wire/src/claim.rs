//! Messages about claims: who may run a request, and how often.

use deku::prelude::*;
use tallybridge_core::{AttemptId, InstanceId, RequestKey};

use crate::headers::WireHeaders;

/// A [`RequestKey`] in its wire form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireKey {
    issued_unix_ms: u64,
    digest: u128,
}

impl From<RequestKey> for WireKey {
    fn from(key: RequestKey) -> Self {
        Self {
            issued_unix_ms: key.issued_unix_ms,
            digest: key.digest,
        }
    }
}

impl From<WireKey> for RequestKey {
    fn from(key: WireKey) -> Self {
        Self {
            issued_unix_ms: key.issued_unix_ms,
            digest: key.digest,
        }
    }
}

/// An [`AttemptId`] in its wire form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct WireAttempt {
    instance: u64,
    sequence: u64,
}

impl From<AttemptId> for WireAttempt {
    fn from(attempt: AttemptId) -> Self {
        Self {
            instance: attempt.instance.0,
            sequence: attempt.sequence,
        }
    }
}

impl From<WireAttempt> for AttemptId {
    fn from(attempt: WireAttempt) -> Self {
        Self {
            instance: InstanceId(attempt.instance),
            sequence: attempt.sequence,
        }
    }
}

/// A finished answer that is small enough to be kept for replay.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct StoredAnswer {
    /// Status of the back end's answer.
    pub status: u16,
    /// End-to-end headers.
    pub headers: WireHeaders,
    body_length: u16,
    /// The whole body.
    #[deku(count = "body_length")]
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Largest body that is kept, in bytes.
    pub const MAX_BODY_BYTES: usize = 4 << 10;

    /// Wraps an answer, or `None` when its body is too large to be kept.
    #[must_use]
    pub fn new(status: u16, headers: WireHeaders, body: &[u8]) -> Option<Self> {
        if body.len() > Self::MAX_BODY_BYTES {
            return None;
        }
        Some(Self {
            status,
            headers,
            body_length: u16::try_from(body.len()).ok()?,
            body: body.to_vec(),
        })
    }
}

/// Asks a replica for one numbered run of a key.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct Claim {
    /// The request.
    pub key: WireKey,
    /// Epoch of the key's partition as the asker knows it.
    pub epoch: u64,
    /// Number of the run, from 1.
    pub run: u8,
    /// Who asks.
    pub attempt: WireAttempt,
}

/// Why a replica does not vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum AbstainReason {
    /// The node is no replica of the partition.
    #[deku(id = "1")]
    NotMember,
    /// The asker's epoch is over.
    #[deku(id = "2")]
    StaleEpoch {
        /// Greatest epoch that the replica knows.
        current: u64,
    },
    /// The replica has not yet learned the epoch, or not yet copied the claims.
    #[deku(id = "3")]
    NotSynchronised,
    /// The key is too old or dated in the future.
    #[deku(id = "4")]
    KeyOutsideWindow,
    /// The partition lost a majority of its replicas after the key may have been claimed.
    #[deku(id = "5")]
    BeforeReset,
    /// The replica remembers as many keys as it may.
    #[deku(id = "6")]
    Full,
}

/// What has become of a run that another attempt holds.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum RunState {
    /// Nothing further is known.
    #[deku(id = "1")]
    Running,
    /// It finished with this answer.
    #[deku(id = "2")]
    Finished(StoredAnswer),
}

/// A replica's vote on a claim.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum ClaimVote {
    /// The attempt holds the run at this replica.
    #[deku(id = "1")]
    Granted {
        /// How many other runs of the key other attempts hold here.
        other_runs: u8,
    },
    /// Another attempt holds the run.
    #[deku(id = "2")]
    Held {
        /// The holder.
        attempt: WireAttempt,
        /// What is known of its run.
        state: RunState,
    },
    /// The replica does not vote.
    #[deku(id = "3")]
    Abstains(AbstainReason),
}

/// Answers a [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimReply {
    /// Epoch of the claim.
    pub epoch: u64,
    /// Run of the claim.
    pub run: u8,
    /// The vote.
    pub vote: ClaimVote,
}

/// Gives back every run of an attempt that has not run and never will.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimRelease {
    /// The request.
    pub key: WireKey,
    /// The attempt.
    pub attempt: WireAttempt,
}

/// Tells a replica the answer of a run, for replay.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimFinish {
    /// The request.
    pub key: WireKey,
    /// The run.
    pub run: u8,
    /// The attempt that ran it.
    pub attempt: WireAttempt,
    /// Its answer.
    pub answer: StoredAnswer,
}

/// Asks whether an attempt other than the asker holds any run of a key.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimQuery {
    /// The request.
    pub key: WireKey,
    /// Epoch of the key's partition as the asker knows it.
    pub epoch: u64,
    /// The attempt that is refused and will never run.
    pub attempt: WireAttempt,
}

/// A replica's answer to a query.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum QueryVote {
    /// No other attempt holds a run of the key.
    #[deku(id = "1")]
    NothingHeld,
    /// Another attempt holds a run of the key.
    #[deku(id = "2")]
    Held(RunState),
    /// The replica does not vote.
    #[deku(id = "3")]
    Abstains(AbstainReason),
}

/// Answers a [`ClaimQuery`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimQueryReply {
    /// Epoch of the query.
    pub epoch: u64,
    /// The answer.
    pub vote: QueryVote,
}

/// Asks a previous replica of a partition for a page of its claims. By answering, the replica ends
/// the epoch before.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimCopy {
    /// The partition.
    pub partition: u8,
    /// The epoch that the asker joins.
    pub epoch: u64,
    /// Whether `after` holds a key: 0 asks for the first page, 1 for the one after that key.
    pub continued: u8,
    /// Last key of the page before.
    pub after: WireKey,
    /// Whether claims are wanted whatever they are worth, as too many replicas are gone: 0 or 1.
    pub salvage: u8,
}

/// One held run.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct CopiedRun {
    /// The request.
    pub key: WireKey,
    /// The run.
    pub run: u8,
    /// The holder.
    pub attempt: WireAttempt,
    /// What is known of the run.
    pub state: RunState,
}

/// What a page holds.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum PageContent {
    /// Claims, in order of their keys; every run of a key is in the same page.
    #[deku(id = "1")]
    Claims {
        /// Whether a further page follows: 0 or 1.
        more: u8,
        /// Number of runs.
        count: u32,
        /// The runs.
        #[deku(count = "count")]
        runs: Vec<CopiedRun>,
    },
    /// The replica can't vouch for the epoch before.
    #[deku(id = "2")]
    Abstains(AbstainReason),
}

/// Answers a [`ClaimCopy`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimPage {
    /// The partition.
    pub partition: u8,
    /// The epoch that the asker joins.
    pub epoch: u64,
    /// The page.
    pub content: PageContent,
}
