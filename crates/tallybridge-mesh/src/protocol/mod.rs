//! Messages between nodes: a header of fixed fields (`deku`), then bytes that are passed on.

mod load;
mod payload;
mod peer;
mod quarantine;
mod quota;
mod slot_times;

use bytes::{Buf, Bytes, BytesMut};
use deku::prelude::*;

use self::payload::{decode_payload, fields};
pub use self::{
    load::Load,
    peer::{BackendState, NodeRecord, PeerStatus},
    quarantine::{CrashReport, DIGEST_BYTES, MalformedDigest, QuarantinedRequest, RequestDigest},
    quota::{EpochSpending, QuotaAsk, QuotaGrant, WindowSpending},
    slot_times::{ServiceTime, SlotTimes},
};

/// Version of the protocol. Nodes refuse a peer that speaks another one.
const PROTOCOL_VERSION: u8 = 8;
/// Largest frame, in bytes.
const MAX_FRAME_BYTES: u32 = 80 << 20;
/// Size of a [`FrameHeader`], in bytes.
const HEADER_BYTES: usize = 10;

/// Bytes that are no frames of this protocol.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The peer speaks another version.
    #[error("peer speaks protocol version {0}, this node speaks {PROTOCOL_VERSION}")]
    Version(u8),
    /// The frame is larger than any message.
    #[error("frame of {0} bytes is too large")]
    TooLarge(u32),
    /// Its fields can't be read.
    #[error("malformed frame of kind {0}")]
    Malformed(u8),
}

#[derive(Debug, DekuRead, DekuWrite)]
#[deku(endian = "big")]
struct FrameHeader {
    length: u32,
    version: u8,
    kind: u8,
    call: u32,
}

/// A call for the back end beside the receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallMessage {
    /// Time left, in milliseconds.
    pub remaining_ms: u32,
    /// Longest that it may wait for a slot, in milliseconds.
    pub wait_ms: u32,
    /// Its class, as [`tallybridge_core::Criticality`] is numbered.
    pub criticality: u8,
    /// Calls of one route have the same number, and take about the same time.
    pub kind: u16,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// Whether the request at the root of its chain is of the highest priority.
    pub is_urgent: bool,
    /// Whether it, or a run above it, is a repeat.
    pub is_retry: bool,
    /// Whether its answer has no body.
    pub is_head_request: bool,
    /// The caller's name of the attempt, which the answer must repeat.
    pub attempt: Bytes,
    /// Request line and header lines, without the empty line.
    pub head: Bytes,
    /// The whole body.
    pub body: Bytes,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Who the sender is, as a JSON [`NodeRecord`].
    Hello(Bytes),
    /// Asks for the other nodes that the receiver knows.
    FetchNodes,
    /// Other nodes that the sender knows, as a JSON list.
    Nodes(Bytes),
    /// A call.
    Call(CallMessage),
    /// The whole answer of a back end.
    Answer {
        /// Its status.
        status: u16,
        /// Whether the back end made nested calls for it.
        made_calls: bool,
        /// What it cost.
        times: SlotTimes,
        /// How busy the back end is.
        load: Load,
        /// Its header lines.
        head: Bytes,
        /// Its body.
        body: Bytes,
    },
    /// The call ended without an answer.
    Refusal {
        /// Wire value of the error kind.
        kind: u8,
        /// Wire value of the outcome.
        outcome: u8,
        /// When to come back, in milliseconds; 0 when not told.
        retry_after_ms: u32,
        /// How busy the back end is.
        load: Load,
    },
    /// Nobody waits for the call any more.
    Cancel,
    /// Asks for the status.
    Ping,
    /// The sender's status.
    Status(PeerStatus),
    /// Asks for the newest configuration.
    FetchConfiguration,
    /// The newest configuration document.
    Configuration(Bytes),
    /// The sender watches the store, which confirmed that no configuration is newer.
    Confirmed {
        /// Version of the sender's configuration; 0 for none.
        version: u64,
        /// Time since the sender asked the store, in milliseconds.
        age_ms: u32,
        /// When the sender asked for the configuration that it last read from the store itself, in
        /// milliseconds on its own clock; 0 for never.
        read_at_ms: u64,
    },
    /// The sender's clock, in milliseconds since its process began.
    Clock {
        /// The time at which it was sent.
        now_ms: u64,
    },
    /// Asks the home of a tenant for tokens.
    QuotaAsk {
        /// The tenant's name.
        tenant: Bytes,
        /// What is asked for.
        ask: QuotaAsk,
        /// Whether the sender asks for another node, which does not reach the home itself.
        is_forwarded: bool,
    },
    /// What the home of a tenant gives.
    QuotaGrant(QuotaGrant),
    /// A back end ended without notice.
    Crash(CrashReport),
    /// A request is held back, or tried again for a moment.
    Quarantined(QuarantinedRequest),
    /// A suspect was answered by a back end.
    Cleared(RequestDigest),
}

/// A message with the call that it belongs to; 0 for none.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Number of the call within its link.
    pub call: u32,
    /// The message.
    pub message: Message,
}

impl Message {
    const fn kind(&self) -> u8 {
        match self {
            Self::Hello(_) => 1,
            Self::Nodes(_) => 2,
            Self::Call(_) => 3,
            Self::Answer { .. } => 4,
            Self::Refusal { .. } => 5,
            Self::Cancel => 6,
            Self::Ping => 7,
            Self::Status(_) => 8,
            Self::FetchConfiguration => 9,
            Self::Configuration(_) => 10,
            Self::FetchNodes => 11,
            Self::Confirmed { .. } => 12,
            Self::Clock { .. } => 13,
            Self::QuotaAsk { .. } => 14,
            Self::QuotaGrant(_) => 15,
            Self::Crash(_) => 16,
            Self::Quarantined(_) => 17,
            Self::Cleared(_) => 18,
        }
    }
}

impl Frame {
    /// A frame of a message that belongs to no call.
    #[must_use]
    pub const fn of_link(message: Message) -> Self {
        Self { call: 0, message }
    }

    /// The frame's bytes.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        let mut payload = Vec::new();
        self.message.encode_payload(&mut payload);
        let header = FrameHeader {
            length: u32::try_from(payload.len()).unwrap_or(u32::MAX),
            version: PROTOCOL_VERSION,
            kind: self.message.kind(),
            call: self.call,
        };
        let mut bytes = fields(&header);
        bytes.reserve(payload.len());
        bytes.append(&mut payload);
        bytes.into()
    }

    /// Takes a frame off a buffer; `None` while it is not whole.
    ///
    /// # Errors
    ///
    /// [`FrameError`] when the bytes are no frame; the link can't be used further.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let (_, header) = FrameHeader::from_bytes((&buffer[..HEADER_BYTES], 0))
            .map_err(|_| FrameError::Malformed(0))?;
        if header.version != PROTOCOL_VERSION {
            return Err(FrameError::Version(header.version));
        }
        if header.length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(header.length));
        }
        let length = HEADER_BYTES + header.length as usize;
        if buffer.len() < length {
            buffer.reserve(length - buffer.len());
            return Ok(None);
        }
        buffer.advance(HEADER_BYTES);
        let payload = buffer.split_to(header.length as usize).freeze();
        let message = decode_payload(header.kind, payload);
        Ok(Some(Self {
            call: header.call,
            message: message.ok_or(FrameError::Malformed(header.kind))?,
        }))
    }
}
