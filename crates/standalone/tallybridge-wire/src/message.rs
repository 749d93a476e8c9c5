//! The messages that nodes exchange over a link, and the encoding of their payloads.

use deku::prelude::*;

use crate::claim::{
    Claim, ClaimCopy, ClaimFinish, ClaimPage, ClaimQuery, ClaimQueryReply, ClaimRelease, ClaimReply,
};
use crate::report::{ExplainFetch, JsonReport};
use crate::{bytes_field::write_bytes, headers::WireHeaders, load::WireLoad, text::Text};

/// First message that each side of a connection sends, with the identity of the sender.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct Hello {
    /// Identifier of the sender's process, as in [`InstanceId`](tallybridge_core::InstanceId).
    pub instance: u64,
    /// Address at which the sender accepts links, as text.
    pub peer_address: Text,
    /// Service of the sender's back end; empty when the sender has no back end.
    pub service: Text,
    /// Region of the sender.
    pub region: Text,
    /// Zone of the sender within its region.
    pub zone: Text,
    /// Rack of the sender; empty when unknown.
    pub rack: Text,
}

/// Start of a call. `body_length` bytes follow in [`BodyChunk`]s on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct CallHead {
    /// Issue time of the request key, in milliseconds since the Unix epoch.
    pub key_issued_unix_ms: u64,
    /// Digest of the request key.
    pub key_digest: u128,
    /// Whether the executor must claim the key before the call runs, because an earlier attempt that
    /// the entry does not know may exist: 0 or 1.
    pub claim_needed: u8,
    /// Maximum number of runs of the key over all attempts.
    pub max_runs: u8,
    /// Number of the attempt at this position of the call chain, from 1.
    pub attempt: u16,
    /// Whether an earlier attempt of this call or of one of its ancestors may have run: 0 or 1.
    pub repeated: u8,
    /// Depth in the call chain; a root call has depth 1.
    pub depth: u8,
    /// Wire value of the call's [`Criticality`](tallybridge_core::Criticality).
    pub criticality: u8,
    /// Whether the call is idempotent, so that it can safely run twice: 0 or 1.
    pub idempotent: u8,
    /// Number of retries that the nested calls of this attempt may use.
    pub allowance: u8,
    /// Time until the deadline of the call, in milliseconds.
    pub remaining_ms: u32,
    /// Maximum size of the answer body, in bytes.
    pub max_answer_bytes: u32,
    /// Maximum number of calls of this template that one back end runs concurrently; 0 when the
    /// template has no limit.
    pub concurrency_limit: u16,
    /// Number of slots of a back end that are reserved for this template.
    pub reserve: u16,
    /// Service that the call is sent to.
    pub service: Text,
    /// Tenant that the request belongs to.
    pub tenant: Text,
    /// Name of the template that applies to the call.
    pub template: Text,
    /// Identifier of the request that the call is part of, for logs.
    pub request_id: Text,
    /// HTTP method of the call.
    pub method: Text,
    /// Path and query of the call's URI.
    pub path: Text,
    /// End-to-end headers, without hop-by-hop headers.
    pub headers: WireHeaders,
    /// Size of the complete body, in bytes.
    pub body_length: u32,
    /// CRC-32 of the complete body.
    pub body_checksum: u32,
}

/// A part of the body of a call or an answer. Chunks are sent in the order of the body.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct BodyChunk {
    length: u32,
    /// Bytes of this part of the body.
    #[deku(count = "length", writer = "write_bytes(deku::writer, bytes)")]
    pub bytes: Vec<u8>,
}

impl BodyChunk {
    /// Maximum size of a chunk, in bytes. The limit keeps a large body from delaying short messages
    /// of other streams.
    pub const MAX_BYTES: usize = 32 << 10;

    /// Returns a chunk with a copy of the bytes. The caller splits a body at [`Self::MAX_BYTES`].
    #[must_use]
    pub fn new(bytes: &[u8]) -> Self {
        Self {
            length: u32::try_from(bytes.len()).unwrap_or(u32::MAX),
            bytes: bytes.to_vec(),
        }
    }
}

/// Start of an answer. `body_length` bytes follow in [`BodyChunk`]s on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct AnswerHead {
    /// Wire value of the call's [`Outcome`](tallybridge_core::Outcome).
    pub outcome: u8,
    /// Wire value of the [`ErrorKind`](tallybridge_core::ErrorKind); 0 when a back end answered.
    pub error_kind: u8,
    /// Whether the call was sent to the back end, regardless of the outcome: 0 or 1.
    pub reached_backend: u8,
    /// Whether the outcome accounts for all attempts with the same key, at any entry: 0 or 1.
    pub outcome_settled: u8,
    /// HTTP status of the back end's answer; 0 for a refusal.
    pub status: u16,
    /// Number of unused retries out of [`CallHead::allowance`].
    pub unused_allowance: u8,
    /// Delay before the caller may retry, in milliseconds; 0 when the answer suggests none.
    pub retry_after_ms: u32,
    /// Current load of the executor.
    pub load: WireLoad,
    /// Human-readable reason of a refusal; empty when a back end answered.
    pub detail: Text,
    /// End-to-end headers, without hop-by-hop headers.
    pub headers: WireHeaders,
    /// Size of the complete body, in bytes.
    pub body_length: u32,
    /// CRC-32 of the complete body.
    pub body_checksum: u32,
}

/// Asks a peer for the configuration records that are newer than a revision.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ConfigurationFetch {
    /// Revision that the sender already has.
    pub after: u64,
}

/// Configuration records, sent as the answer to a [`ConfigurationFetch`] or without a request.
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct ConfigurationRecords {
    length: u32,
    /// The records as a JSON list in the order of their revisions.
    #[deku(count = "length", writer = "write_bytes(deku::writer, json)")]
    pub json: Vec<u8>,
}

impl ConfigurationRecords {
    /// Returns a message with the given JSON list of records.
    #[must_use]
    pub fn new(json: Vec<u8>) -> Self {
        Self {
            length: u32::try_from(json.len()).unwrap_or(u32::MAX),
            json,
        }
    }
}

/// Asks a peer for the map from claim partitions to their replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct PartitionMapFetch {
    /// Whether the answer includes reports of the partitions that the peer has synchronised: 0 or 1.
    pub reports_wanted: u8,
}

/// The replicas of the claim partitions, sent as the answer to a [`PartitionMapFetch`].
#[derive(Debug, Clone, PartialEq, Eq, DekuRead, DekuWrite)]
#[deku(endian = "big")]
pub struct PartitionMapRecords {
    length: u32,
    /// The partition map and the reports as JSON.
    #[deku(count = "length")]
    pub json: Vec<u8>,
}

impl PartitionMapRecords {
    /// Returns a message with the JSON of a partition map and its reports.
    #[must_use]
    pub fn new(json: Vec<u8>) -> Self {
        Self {
            length: u32::try_from(json.len()).unwrap_or(u32::MAX),
            json,
        }
    }
}

/// An error of encoding or decoding the payload of a message.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The protocol defines no message of this kind.
    #[error("unknown message kind {0}")]
    UnknownKind(u8),
    /// The payload cannot be encoded or decoded as a message of its kind.
    #[error("malformed payload of message kind {kind}: {reason}")]
    Malformed {
        /// Wire value of the message kind.
        kind: u8,
        /// Description of the error, for logs.
        reason: String,
    },
}

macro_rules! messages {
    ($($(#[$meta:meta])* $name:ident($payload:ty) = $kind:literal,)*) => {
        /// A message that nodes exchange over a link.
        #[derive(Debug, Clone, PartialEq, Eq)]
        pub enum Message {
            $($(#[$meta])* $name($payload),)*
            /// Cancels the call on this stream.
            Cancel,
            /// Notifies the receiver that its machine is leaving, according to the machine list that
            /// the sender read.
            LeaveNotice,
            /// Asks a node for its status.
            StatusFetch,
        }

        impl Message {
            /// Returns the wire value of the message kind.
            #[must_use]
            pub fn kind(&self) -> u8 {
                match self {
                    $(Self::$name(_) => $kind,)*
                    Self::Cancel => CANCEL_KIND,
                    Self::LeaveNotice => LEAVE_NOTICE_KIND,
                    Self::StatusFetch => STATUS_FETCH_KIND,
                }
            }

            /// Encodes the payload, without the frame header.
            ///
            /// # Errors
            ///
            /// Returns [`MessageError::Malformed`] when a field does not fit its length prefix.
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

            /// Decodes the payload of a message of the given kind.
            ///
            /// # Errors
            ///
            /// Returns a [`MessageError`] when the kind is unknown or the payload does not match the
            /// kind.
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
    /// Identifies the sender.
    Hello(Hello) = 1,
    /// Starts a call.
    Call(CallHead) = 2,
    /// Carries a part of a body.
    Chunk(BodyChunk) = 3,
    /// Starts an answer.
    Answer(AnswerHead) = 4,
    /// Asks for configuration records.
    ConfigurationFetch(ConfigurationFetch) = 6,
    /// Carries configuration records.
    ConfigurationRecords(ConfigurationRecords) = 7,
    /// Carries the complete configuration at one revision. Answers a fetch whose revision is too old
    /// for single records.
    ConfigurationSnapshot(JsonReport) = 9,
    /// Asks for the decisions about one request.
    ExplainFetch(ExplainFetch) = 10,
    /// Carries the decisions about one request.
    ExplainRecords(JsonReport) = 11,
    /// Carries the status of the sender.
    StatusRecords(JsonReport) = 13,
    /// Asks for a run of a key.
    Claim(Claim) = 16,
    /// Answers a claim.
    ClaimReply(ClaimReply) = 17,
    /// Releases every run of an attempt that will never run.
    ClaimRelease(ClaimRelease) = 18,
    /// Carries the answer of a finished run.
    ClaimFinish(ClaimFinish) = 19,
    /// Asks whether another attempt holds a run of a key.
    ClaimQuery(ClaimQuery) = 20,
    /// Answers a claim query.
    ClaimQueryReply(ClaimQueryReply) = 21,
    /// Asks for a page of a partition's claims.
    ClaimCopy(ClaimCopy) = 22,
    /// Carries a page of a partition's claims.
    ClaimPage(ClaimPage) = 23,
    /// Asks for the replicas of the claim partitions.
    PartitionMapFetch(PartitionMapFetch) = 24,
    /// Carries the replicas of the claim partitions.
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
        Err(malformed(format!(
            "{} unexpected bytes at the end",
            rest.len()
        )))
    }
}
