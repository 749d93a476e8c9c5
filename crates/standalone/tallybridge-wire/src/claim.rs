//! Messages about claims, which decide which attempts may run a request and how often.
//!
//! The claims of a request key are held by the replicas of its partition. Each replica votes on a
//! claim, and the membership of a partition changes with its epoch.

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

/// An answer of a back end that is small enough for a replica to store and replay.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct StoredAnswer {
    /// HTTP status of the back end's answer.
    pub status: u16,
    /// End-to-end headers of the answer.
    pub headers: WireHeaders,
    body_length: u16,
    /// The complete body of the answer.
    #[deku(count = "body_length")]
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Maximum size of a stored body, in bytes.
    pub const MAX_BODY_BYTES: usize = 4 << 10;

    /// Returns the answer in its stored form, or `None` when the body exceeds
    /// [`Self::MAX_BODY_BYTES`].
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

/// Asks a replica to grant one run of a request key to an attempt.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct Claim {
    /// Key of the request to run.
    pub key: WireKey,
    /// Epoch of the key's partition that the sender knows.
    pub epoch: u64,
    /// Number of the run, from 1.
    pub run: u8,
    /// The attempt that asks for the run.
    pub attempt: WireAttempt,
}

/// Reason why a replica does not vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum AbstainReason {
    /// The node is not a replica of the partition.
    #[deku(id = "1")]
    NotMember,
    /// The epoch in the message is older than the epoch of the replica.
    #[deku(id = "2")]
    StaleEpoch {
        /// Latest epoch that the replica knows.
        current: u64,
    },
    /// The replica has not learned the epoch yet or has not copied the claims yet.
    #[deku(id = "3")]
    NotSynchronised,
    /// The issue time of the key is too old or in the future.
    #[deku(id = "4")]
    KeyOutsideWindow,
    /// The key was issued before the partition lost a majority of its replicas and was reset, so
    /// claims on the key may be lost.
    #[deku(id = "5")]
    BeforeReset,
    /// The replica already stores its maximum number of keys.
    #[deku(id = "6")]
    Full,
}

/// State of a run that another attempt holds.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum RunState {
    /// The replica has no answer of the run, which may be in progress.
    #[deku(id = "1")]
    Running,
    /// The run finished with this answer.
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
    /// The replica grants the run to the attempt.
    #[deku(id = "1")]
    Granted {
        /// Number of other runs of the key that other attempts hold at this replica.
        other_runs: u8,
    },
    /// Another attempt holds the run.
    #[deku(id = "2")]
    Held {
        /// The attempt that holds the run.
        attempt: WireAttempt,
        /// State of the run at this replica.
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
    /// Epoch in the claim.
    pub epoch: u64,
    /// Number of the claimed run.
    pub run: u8,
    /// Vote of the replica that sends this reply.
    pub vote: ClaimVote,
}

/// Releases every run of a key that an attempt holds. The attempt has not run and will never run.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimRelease {
    /// Key of the request.
    pub key: WireKey,
    /// The attempt that holds the runs.
    pub attempt: WireAttempt,
}

/// Sends the answer of a finished run to a replica, which stores the answer for replay.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimFinish {
    /// Key of the request.
    pub key: WireKey,
    /// Number of the finished run.
    pub run: u8,
    /// The attempt that held the run.
    pub attempt: WireAttempt,
    /// Answer of the back end.
    pub answer: StoredAnswer,
}

/// Asks a replica whether any attempt other than the asking one holds a run of a key.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimQuery {
    /// Key of the request.
    pub key: WireKey,
    /// Epoch of the key's partition that the sender knows.
    pub epoch: u64,
    /// The asking attempt, which was refused and will never run.
    pub attempt: WireAttempt,
}

/// A replica's vote on a [`ClaimQuery`].
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
    /// Epoch in the query.
    pub epoch: u64,
    /// Vote of the replica that sends this reply.
    pub vote: QueryVote,
}

/// Asks a replica of a partition's previous epoch for a page of its claims.
///
/// A replica that sends its claims stops voting in earlier epochs.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimCopy {
    /// Number of the partition.
    pub partition: u8,
    /// Epoch that the sender joins.
    pub epoch: u64,
    /// 0 asks for the first page, and 1 asks for the page that follows the key `after`.
    pub continued: u8,
    /// Last key of the previous page; ignored when `continued` is 0.
    pub after: WireKey,
    /// Whether the replica sends its claims even if they may be incomplete, because too many other
    /// replicas are lost: 0 or 1.
    pub salvage: u8,
}

/// One run that an attempt holds, as a replica copies it to another.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub struct CopiedRun {
    /// Key of the request.
    pub key: WireKey,
    /// Number of the run.
    pub run: u8,
    /// The attempt that holds the run.
    pub attempt: WireAttempt,
    /// State of the run at the sending replica.
    pub state: RunState,
}

/// Content of a [`ClaimPage`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(
    id_type = "u8",
    endian = "endian",
    ctx = "endian: deku::ctx::Endian",
    ctx_default = "deku::ctx::Endian::Big"
)]
pub enum PageContent {
    /// Claims in the order of their keys. A page contains all runs of a key or none.
    #[deku(id = "1")]
    Claims {
        /// Whether another page follows: 0 or 1.
        more: u8,
        /// Number of runs in this page.
        count: u32,
        /// The runs that attempts hold.
        #[deku(count = "count")]
        runs: Vec<CopiedRun>,
    },
    /// The replica cannot vouch for its claims of the previous epoch.
    #[deku(id = "2")]
    Abstains(AbstainReason),
}

/// Answers a [`ClaimCopy`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ClaimPage {
    /// Number of the partition.
    pub partition: u8,
    /// Epoch that the receiver joins.
    pub epoch: u64,
    /// Claims, or the reason why the replica sends none.
    pub content: PageContent,
}
