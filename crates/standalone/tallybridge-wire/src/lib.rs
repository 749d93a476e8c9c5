//! The protocol between nodes: typed messages, their binary form and their framing.

mod bytes_field;
pub mod claim;
pub mod codec;
pub mod frame;
pub mod gossip;
pub mod headers;
pub mod load;
pub mod message;
pub mod report;
pub mod text;

pub use codec::{FrameCodec, FrameError};
pub use frame::{Frame, StreamId};
pub use gossip::{
    DIGEST_BUCKETS, Datagram, DatagramError, GossipHeader, GossipMessage, MAX_DATAGRAM_BYTES,
    ShortText, WireAddress, WireNode, WirePlacement, WireUpdate, decode_datagram, encode_datagram,
};
pub use headers::{WireHeader, WireHeaders};
pub use load::WireLoad;
pub use message::{
    AnswerHead, BodyChunk, CallHead, ConfigurationFetch, ConfigurationRecords, Hello, Message,
    MessageError, PartitionMapFetch, PartitionMapRecords,
};
pub use report::{ExplainFetch, JsonReport};
pub use text::Text;

/// Version of the protocol. Nodes refuse a peer that speaks another one.
pub const PROTOCOL_VERSION: u8 = 1;
