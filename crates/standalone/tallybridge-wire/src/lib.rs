//! The protocol between nodes: typed messages, their binary encoding and their framing.
//!
//! Nodes exchange [`Message`]s in [`Frame`]s over the TCP connections of links, and membership
//! [`Datagram`]s over UDP.

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

/// Version of the protocol. Nodes reject a peer that uses another version.
pub const PROTOCOL_VERSION: u8 = 1;
