//! The protocol between nodes: messages in frames over TCP.
//!
//! A [`Frame`] has a header of fixed fields and a payload. [`Message`] lists the kinds of payload,
//! which the submodules define. Payloads that a node only forwards (heads and bodies of requests,
//! configuration documents) are plain bytes.
//!
//! Nodes of two releases communicate during a rollout, so any change of the wire format requires a
//! new protocol version. `tests/wire_format.rs` pins the format.

mod answer;
mod backend_notice;
mod call;
mod codec;
mod confirmation;
mod frame;
mod load;
mod message;
mod quarantine;
mod quota;
mod slot_times;
mod status;

pub use self::{
    answer::{AnswerMessage, RefusalMessage},
    backend_notice::BackendNotice,
    call::CallMessage,
    confirmation::{ClockMessage, ConfirmationMessage},
    frame::{EncodedFrame, Frame, FrameContent, FrameError, FramePreview, HEADER_BYTES},
    load::Load,
    message::Message,
    quarantine::{
        CrashReport, DIGEST_BYTES, MalformedDigest, QuarantinedRequest, RequestDigest, ServiceTag,
    },
    quota::{EpochSpending, QuotaGrant, QuotaRequest, QuotaRequestMessage, WindowSpending},
    slot_times::{ServiceTime, SlotTimes},
    status::{BackendState, NodeRecord, PeerStatus},
};
