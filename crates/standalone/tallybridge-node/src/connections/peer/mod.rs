//! Links between nodes: one connection for each direction, many streams on it.

pub mod accept;
pub mod body;
pub mod call;
pub mod introduction;
pub mod link;
pub mod links;
pub mod network;
pub mod update;
pub mod writer;

/// Why a peer gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerFailure {
    /// The message never reached the peer.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The peer may have got the message; its answer will not come.
    #[error("lost: {0}")]
    Lost(String),
}
