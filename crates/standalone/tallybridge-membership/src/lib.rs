//! Fleet membership: the health, leaving state and placement of every node.
//!
//! The protocol is SWIM (Das, Gupta and Motivala, DSN 2002) with piggybacked updates and the local
//! health multiplier, dynamic suspicion timeout and refutation of Lifeguard (Dadgar, Phillips and
//! Currey, DSN 2018). Nodes also compare their whole tables by digest (anti-entropy). Each node
//! owns one [`MemberTable`]. The functions [`probe::run`] and [`receive`] operate on the table,
//! take the time as an argument and do no I/O.

mod address;
mod anti_entropy;
mod budget;
mod convert;
mod digest;
pub mod event;
mod gossip;
mod helpers;
mod leave;
mod local_health;
pub mod member;
mod merge;
pub mod outgoing;
pub mod probe;
mod probe_ring;
mod reach;
mod receive;
mod refute;
mod relay;
pub mod settings;
mod status;
mod suspicion;
pub mod table;
mod table_range;
mod update_queue;
mod zones;

pub use event::MemberEvent;
pub use member::{Health, Incarnation, MemberIdentity, MemberRecord, MemberState, Placement};
pub use outgoing::Outgoing;
pub use receive::receive;
pub use settings::MembershipSettings;
pub use status::MembershipStatus;
pub use table::MemberTable;
