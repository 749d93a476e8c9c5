//! tallybridge-claims: at most once, and refusals that are true.

pub mod key_window;
pub mod map;
pub mod partition;
pub mod plan;
pub mod query;
pub mod replica;
pub mod round;
pub mod runs;
pub mod table;

pub use key_window::{SKEW_MS, WINDOW_MS};
pub use map::{Origin, PartitionEntry, PartitionMap, Replica};
pub use partition::{PARTITIONS, PartitionId, majority, read_quorum};
pub use plan::{Candidate, Presence, SyncReport, plan};
pub use query::{QueryRound, QueryVerdict};
pub use round::{ClaimRound, Progress, Verdict};
pub use table::{ClaimStatus, ClaimTable};
