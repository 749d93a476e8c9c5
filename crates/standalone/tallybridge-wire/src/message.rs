//! The messages that nodes exchange over a peer link.

use deku::prelude::*;

use crate::claim::{
    Claim, ClaimCopy, ClaimFinish, ClaimPage, ClaimQuery, ClaimQueryReply, ClaimRelease, ClaimReply,
};
use crate::report::{ExplainFetch, JsonReport};
use crate::{bytes_field::write_bytes, headers::WireHeaders, load::WireLoad, text::Text};

/// First message of each side of a connection: who it is.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct Hello {
    /// The sender's run.
    pub instance: u64,
    /// The sender's peer address, as text.
    pub peer_address: Text,
    /// Service of the back end beside the sender; empty when it has none.
    pub service: Text,
    /// The sender's region.
    pub region: Text,
    /// The sender's zone.
    pub zone: Text,
    /// The sender's rack; empty when unknown.
    pub rack: Text,
}

/// Start of a call; `body_length` bytes follow in [`BodyChunk`]s on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct CallHead {
    /// Date of the request key, milliseconds since the Unix epoch.
    pub key_issued_unix_ms: u64,
    /// Digest of the request key.
    pub key_digest: u128,
    /// Whether an earlier attempt may exist that this node's entry does not know of, so that a
    /// claim on the key is needed before the call may run: 0 or 1.
    pub claim_needed: u8,
    /// How many runs the key allows over all its attempts.
    pub max_runs: u8,
    /// Number of the attempt at this position of the chain, from 1.
    pub attempt: u16,
    /// Whether an earlier attempt of this call, or of one above it, may have run: 0 or 1.
    pub repeated: u8,
    /// Depth in the chain; a root call has 1.
    pub depth: u8,
    /// [`Criticality`](tallybridge_core::Criticality) as its wire value.
    pub criticality: u8,
    /// Whether running the call twice does no harm: 0 or 1.
    pub idempotent: u8,
    /// Retries lent to this attempt for its nested calls.
    pub allowance: u8,
    /// Time left, in milliseconds.
    pub remaining_ms: u32,
    /// Largest answer body, in bytes.
    pub max_answer_bytes: u32,
    /// Most calls of this template that one back end runs at once; 0 for no limit of its own.
    pub concurrency_limit: u16,
    /// Slots of a back end kept for this template.
    pub reserve: u16,
    /// Target service.
    pub service: Text,
    /// Tenant.
    pub tenant: Text,
    /// Template that covers the call.
    pub template: Text,
    /// Identity of the whole request, for logs.
    pub request_id: Text,
    /// HTTP method.
    pub method: Text,
    /// Path and query.
    pub path: Text,
    /// End-to-end headers.
    pub headers: WireHeaders,
    /// Length of the body, in bytes.
    pub body_length: u32,
    /// CRC-32 of the body.
    pub body_checksum: u32,
}

/// A piece of a call's or an answer's body, in order.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct BodyChunk {
    length: u32,
    /// The bytes.
    #[deku(count = "length", writer = "write_bytes(deku::writer, bytes)")]
    pub bytes: Vec<u8>,
}

impl BodyChunk {
    /// Largest piece, in bytes. Small enough that a bulk body does not hold up the short messages
    /// of other streams for long.
    pub const MAX_BYTES: usize = 32 << 10;

    /// Wraps one piece.
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self {
            length: u32::try_from(bytes.len()).unwrap_or(u32::MAX),
            bytes: bytes.to_vec(),
        }
    }
}

/// Start of an answer; `body_length` bytes follow in [`BodyChunk`]s on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct AnswerHead {
    /// [`Outcome`](tallybridge_core::Outcome) as its wire value.
    pub outcome: u8,
    /// [`ErrorKind`](tallybridge_core::ErrorKind) as its wire value; 0 when a back end answered.
    pub error_kind: u8,
    /// Whether the call was handed to the back end, whatever came of it: 0 or 1.
    pub reached_backend: u8,
    /// Whether the outcome takes every attempt under the key into account, wherever it entered:
    /// 0 or 1.
    pub outcome_settled: u8,
    /// HTTP status of the back end's answer; 0 for a refusal.
    pub status: u16,
    /// Retries of those lent that were not spent.
    pub unused_allowance: u8,
    /// When the caller may try again, in milliseconds; 0 when there is nothing to say.
    pub retry_after_ms: u32,
    /// Load of the executing node.
    pub load: WireLoad,
    /// Why the call was refused, for people; empty when a back end answered.
    pub detail: Text,
    /// End-to-end headers.
    pub headers: WireHeaders,
    /// Length of the body, in bytes.
    pub body_length: u32,
    /// CRC-32 of the body.
    pub body_checksum: u32,
}

/// Asks a peer for the configuration records after a revision.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ConfigurationFetch {
    /// The asker's revision.
    pub after: u64,
}

/// Configuration records, answering a [`ConfigurationFetch`] or pushed.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ConfigurationRecords {
    length: u32,
    /// The records as JSON, in order of revision.
    #[deku(count = "length", writer = "write_bytes(deku::writer, json)")]
    pub json: Vec<u8>,
}

impl ConfigurationRecords {
    /// Wraps the JSON of a list of records.
    #[must_use]
    pub fn new(json: Vec<u8>) -> Self {
        Self {
            length: u32::try_from(json.len()).unwrap_or(u32::MAX),
            json,
        }
    }
}

/// Asks a peer for the replicas of the claim partitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct PartitionMapFetch {
    /// Whether the peer's own synchronised partitions are wanted too: 0 or 1.
    pub reports_wanted: u8,
}

/// The replicas of the claim partitions, answering a [`PartitionMapFetch`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct PartitionMapRecords {
    length: u32,
    /// The map and the reports as JSON.
    #[deku(count = "length")]
    pub json: Vec<u8>,
}

impl PartitionMapRecords {
    /// Wraps the JSON of a map with reports.
    #[must_use]
    pub fn new(json: Vec<u8>) -> Self {
        Self {
            length: u32::try_from(json.len()).unwrap_or(u32::MAX),
            json,
        }
    }
}

/// A payload is not a message of its kind.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// No message has this kind.
    #[error("unknown message kind {0}")]
    UnknownKind(u8),
    /// The payload does not parse as its kind.
    #[error("malformed payload of message kind {kind}: {reason}")]
    Malformed {
        /// The kind.
        kind: u8,
        /// What the parser said.
        reason: String,
    },
}

macro_rules! messages {
    ($($(#[$meta:meta])* $name:ident($payload:ty) = $kind:literal,)*) => {
        /// Every message of the peer link.
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub enum Message {
            $($(#[$meta])* $name($payload),)*
            /// The caller of this stream gave up.
            Cancel,
            /// The receiver's machine is leaving, by the machine list that the sender read.
            LeaveNotice,
            /// Asks a node what it says about itself.
            StatusFetch,
        }

        impl Message {
            /// The kind's wire value.
            #[must_use]
            pub fn kind(&self) -> u8 {
                match self {
                    $(Self::$name(_) => $kind,)*
                    Self::Cancel => CANCEL_KIND,
                    Self::LeaveNotice => LEAVE_NOTICE_KIND,
                    Self::StatusFetch => STATUS_FETCH_KIND,
                }
            }

            /// The payload's bytes.
            ///
            /// # Errors
            ///
            /// [`MessageError::Malformed`] when a field does not fit its length prefix.
            pub fn to_payload(&self) -> Result<Vec<u8>, MessageError> {
                let bytes = match self {
                    $(Self::$name(payload) => payload.to_bytes(),)*
                    Self::Cancel | Self::LeaveNotice | Self::StatusFetch => Ok(Vec::new()),
                };
                bytes.map_err(|error| MessageError::Malformed {
                    kind: self.kind(),
                    reason: error.to_string(),
                })
            }

            /// Parses the payload of a kind.
            ///
            /// # Errors
            ///
            /// [`MessageError`] when the kind is unknown or the payload is not of that kind.
            pub fn from_payload(kind: u8, payload: &[u8]) -> Result<Self, MessageError> {
                match kind {
                    $($kind => parse::<$payload>(kind, payload).map(Self::$name),)*
                    CANCEL_KIND => Ok(Self::Cancel),
                    LEAVE_NOTICE_KIND => Ok(Self::LeaveNotice),
                    STATUS_FETCH_KIND => Ok(Self::StatusFetch),
                    unknown => Err(MessageError::UnknownKind(unknown)),
                }
            }
        }
    };
}

const CANCEL_KIND: u8 = 5;
const LEAVE_NOTICE_KIND: u8 = 8;
const STATUS_FETCH_KIND: u8 = 12;

messages! {
    /// Who the sender is.
    Hello(Hello) = 1,
    /// Start of a call.
    Call(CallHead) = 2,
    /// A piece of a body.
    Chunk(BodyChunk) = 3,
    /// Start of an answer.
    Answer(AnswerHead) = 4,
    /// Asks for configuration records.
    ConfigurationFetch(ConfigurationFetch) = 6,
    /// Configuration records.
    ConfigurationRecords(ConfigurationRecords) = 7,
    /// The whole configuration at one revision, answering a fetch from far behind.
    ConfigurationSnapshot(JsonReport) = 9,
    /// Asks what was decided for one request.
    ExplainFetch(ExplainFetch) = 10,
    /// Decisions about one request.
    ExplainRecords(JsonReport) = 11,
    /// What a node says about itself.
    StatusRecords(JsonReport) = 13,
    /// Asks for a run of a key.
    Claim(Claim) = 16,
    /// Answers a claim.
    ClaimReply(ClaimReply) = 17,
    /// Gives back every run of an attempt that will never run.
    ClaimRelease(ClaimRelease) = 18,
    /// The answer of a run.
    ClaimFinish(ClaimFinish) = 19,
    /// Asks whether any run of a key is held.
    ClaimQuery(ClaimQuery) = 20,
    /// Answers a query.
    ClaimQueryReply(ClaimQueryReply) = 21,
    /// Asks for a page of a partition's claims.
    ClaimCopy(ClaimCopy) = 22,
    /// A page of a partition's claims.
    ClaimPage(ClaimPage) = 23,
    /// Asks for the replicas of the claim partitions.
    PartitionMapFetch(PartitionMapFetch) = 24,
    /// The replicas of the claim partitions.
    PartitionMapRecords(PartitionMapRecords) = 25,
}

fn parse<T>(kind: u8, payload: &[u8]) -> Result<T, MessageError>
where
    T: for<'a> DekuContainerRead<'a>,
{
    let malformed = |reason: String| MessageError::Malformed { kind, reason };
    let ((rest, _), message) =
        T::from_bytes((payload, 0)).map_err(|error| malformed(error.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(malformed(format!("{} bytes too many", rest.len())))
    }
}
