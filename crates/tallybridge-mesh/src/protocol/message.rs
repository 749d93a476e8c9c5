//! Message kinds, and the selection of the payload encoding by kind.

use bytes::Bytes;

use super::{
    AnswerMessage, BackendNotice, CallMessage, ClockMessage, ConfirmationMessage, CrashReport,
    PeerStatus, QuarantinedRequest, QuotaGrant, QuotaRequestMessage, RefusalMessage, RequestDigest,
    codec::{put_fields, take_fields},
};

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The sender's JSON [`super::NodeRecord`]; the first message in each direction.
    Hello(Bytes),
    /// Requests the records of the other nodes known to the receiver.
    FetchNodes,
    /// JSON list with the [`super::NodeRecord`] of each other node known to the sender.
    Nodes(Bytes),
    /// A call to the back end of the receiving node.
    Call(CallMessage),
    /// The complete answer of the back end to a call.
    Answer(AnswerMessage),
    /// Reports that the call ended without an answer.
    Refusal(RefusalMessage),
    /// Cancels a call whose caller no longer waits for the result.
    Cancel,
    /// Requests a [`Self::Status`] to check that the link still works.
    Ping,
    /// State and load of the sender's back end, sent on a change and in reply to a ping.
    Status(PeerStatus),
    /// Requests the receiver's newest configuration.
    FetchConfiguration,
    /// The sender's newest configuration document.
    Configuration(Bytes),
    /// Reports that the store confirmed the sender's configuration as the newest one.
    Confirmed(ConfirmationMessage),
    /// The sender's clock, to which its confirmations refer.
    Clock(ClockMessage),
    /// Requests tokens from the owner of a tenant's quota.
    QuotaRequest(QuotaRequestMessage),
    /// Reply to a [`Self::QuotaRequest`].
    QuotaGrant(QuotaGrant),
    /// Reports a crash of the sender's back end.
    Crash(CrashReport),
    /// Reports a quarantined request or a suspect.
    Quarantined(QuarantinedRequest),
    /// Reports a request like [`Self::Quarantined`], whose crash count the store holds.
    QuarantineStored(QuarantinedRequest),
    /// Reports that a back end answered a suspect, which clears the suspicion.
    Cleared(RequestDigest),
    /// Requests the receiver to keep the sender's JSON [`super::NodeRecord`] in the registry. Only
    /// sent to nodes that [register peers](super::NodeRecord::registers_peers).
    Register(Bytes),
    /// Reports to the sender of a [`Self::Register`] that the registry holds its record.
    Registered,
    /// What a back end announced: sent by its executor before an answer, and by an entry to an executor
    /// to which it opens a link. Only sent to nodes that [keep
    /// notices](super::NodeRecord::keeps_notices).
    BackendNotice(BackendNotice),
}

/// Byte after a quarantined request whose crash count the store holds. Earlier releases ignore it.
const QUARANTINE_STORED: u8 = 1;

/// Values of the `kind` field of a frame's header.
pub(super) mod kind {
    pub const HELLO: u8 = 1;
    pub const NODES: u8 = 2;
    pub const CALL: u8 = 3;
    pub const ANSWER: u8 = 4;
    pub const REFUSAL: u8 = 5;
    pub const CANCEL: u8 = 6;
    pub const PING: u8 = 7;
    pub const STATUS: u8 = 8;
    pub const FETCH_CONFIGURATION: u8 = 9;
    pub const CONFIGURATION: u8 = 10;
    pub const FETCH_NODES: u8 = 11;
    pub const CONFIRMED: u8 = 12;
    pub const CLOCK: u8 = 13;
    pub const QUOTA_REQUEST: u8 = 14;
    pub const QUOTA_GRANT: u8 = 15;
    pub const CRASH: u8 = 16;
    pub const QUARANTINED: u8 = 17;
    pub const CLEARED: u8 = 18;
    pub const REGISTER: u8 = 19;
    pub const REGISTERED: u8 = 20;
    pub const BACKEND_NOTICE: u8 = 21;
}

impl Message {
    pub(super) const fn kind(&self) -> u8 {
        match self {
            Self::Hello(_) => kind::HELLO,
            Self::Nodes(_) => kind::NODES,
            Self::Call(_) => kind::CALL,
            Self::Answer(_) => kind::ANSWER,
            Self::Refusal(_) => kind::REFUSAL,
            Self::Cancel => kind::CANCEL,
            Self::Ping => kind::PING,
            Self::Status(_) => kind::STATUS,
            Self::FetchConfiguration => kind::FETCH_CONFIGURATION,
            Self::Configuration(_) => kind::CONFIGURATION,
            Self::FetchNodes => kind::FETCH_NODES,
            Self::Confirmed(_) => kind::CONFIRMED,
            Self::Clock(_) => kind::CLOCK,
            Self::QuotaRequest(_) => kind::QUOTA_REQUEST,
            Self::QuotaGrant(_) => kind::QUOTA_GRANT,
            Self::Crash(_) => kind::CRASH,
            Self::Quarantined(_) | Self::QuarantineStored(_) => kind::QUARANTINED,
            Self::Cleared(_) => kind::CLEARED,
            Self::Register(_) => kind::REGISTER,
            Self::Registered => kind::REGISTERED,
            Self::BackendNotice(_) => kind::BACKEND_NOTICE,
        }
    }

    /// Writes the payload except for the body of a call or an answer, and returns that body.
    pub(super) fn encode_payload(&self, out: &mut Vec<u8>) -> Bytes {
        match self {
            Self::Hello(bytes)
            | Self::Nodes(bytes)
            | Self::Configuration(bytes)
            | Self::Register(bytes) => {
                out.extend_from_slice(bytes);
            }
            Self::Call(call) => {
                call.encode_without_body(out);
                return call.body.clone();
            }
            Self::Answer(answer) => {
                answer.encode_without_body(out);
                return answer.body.clone();
            }
            Self::Refusal(refusal) => refusal.encode(out),
            Self::Status(status) => status.encode(out),
            Self::Confirmed(confirmation) => put_fields(confirmation, out),
            Self::Clock(clock) => put_fields(clock, out),
            Self::QuotaRequest(request) => request.encode(out),
            Self::QuotaGrant(grant) => grant.encode(out),
            Self::Crash(report) => report.encode(out),
            Self::Quarantined(request) => request.encode(out),
            Self::QuarantineStored(request) => {
                request.encode(out);
                out.push(QUARANTINE_STORED);
            }
            Self::BackendNotice(notice) => notice.encode(out),
            Self::Cleared(digest) => out.extend_from_slice(&digest.0),
            Self::Cancel
            | Self::Ping
            | Self::FetchConfiguration
            | Self::FetchNodes
            | Self::Registered => {}
        }
        Bytes::new()
    }

    /// Returns `None` for an unknown kind or a malformed payload.
    pub(super) fn decode_payload(kind: u8, mut payload: Bytes) -> Option<Self> {
        Some(match kind {
            kind::HELLO => Self::Hello(payload),
            kind::NODES => Self::Nodes(payload),
            kind::CALL => Self::Call(CallMessage::decode(payload)?),
            kind::ANSWER => Self::Answer(AnswerMessage::decode(payload)?),
            kind::REFUSAL => Self::Refusal(RefusalMessage::decode(payload)?),
            kind::CANCEL => Self::Cancel,
            kind::PING => Self::Ping,
            kind::STATUS => Self::Status(PeerStatus::decode(payload)?),
            kind::FETCH_CONFIGURATION => Self::FetchConfiguration,
            kind::CONFIGURATION => Self::Configuration(payload),
            kind::FETCH_NODES => Self::FetchNodes,
            kind::CONFIRMED => Self::Confirmed(take_fields(&mut payload)?),
            kind::CLOCK => Self::Clock(take_fields(&mut payload)?),
            kind::QUOTA_REQUEST => Self::QuotaRequest(QuotaRequestMessage::decode(payload)?),
            kind::QUOTA_GRANT => Self::QuotaGrant(QuotaGrant::decode(payload)?),
            kind::CRASH => Self::Crash(CrashReport::decode(payload)?),
            kind::QUARANTINED => Self::decode_quarantined(payload)?,
            kind::CLEARED => Self::Cleared(RequestDigest::decode(&payload)?),
            kind::REGISTER => Self::Register(payload),
            kind::REGISTERED => Self::Registered,
            kind::BACKEND_NOTICE => Self::BackendNotice(BackendNotice::decode(payload)?),
            _ => return None,
        })
    }

    fn decode_quarantined(mut payload: Bytes) -> Option<Self> {
        let request = QuarantinedRequest::decode(&mut payload)?;
        Some(match payload.first() {
            Some(&QUARANTINE_STORED) => Self::QuarantineStored(request),
            _ => Self::Quarantined(request),
        })
    }
}
