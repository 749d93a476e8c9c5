//! Membership of the fleet: who is alive, who is leaving, and who is where.
//!
//! SWIM (Das, Gupta and Motivala, DSN 2002) with the local health, shrinking suspicion and
//! refutation of Lifeguard (Dadgar, Phillips and Currey, DSN 2018), piggybacked updates, and
//! comparison of whole tables by digest. One [`MemberTable`] is owned by one node; the systems
//! ([`probe::run`], [`receive`]) run over it with the time passed in and do no I/O.

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
