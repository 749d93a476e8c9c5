//! Claims on runs of a request, which limit how often the request runs.
//!
//! A request runs at most `max_runs` times over all attempts and entries: once for a call that
//! must not be repeated, and `1 + retry allowance` times for a call that may be. The outcome
//! `not-run` means that the attempt has not run and never will, and that no other attempt had run
//! when the executor sent its first query. A replayed answer is the answer of an earlier run.
//!
//! # Claims
//!
//! The digest of a key selects one of [`PARTITIONS`]. After an executor has an admission permit
//! and before it hands the call to its back end, it claims the lowest run that a majority of the
//! partition's replicas grants ([`ClaimRound`]). Claims do not expire while a key can be claimed,
//! so an executor that was paused still holds its run exclusively. Replicas grant runs of keys
//! issued within [`WINDOW_MS`], and remember the keys for twice [`SKEW_MS`] longer so that clock
//! differences never cause a second grant of the same run.
//!
//! # Refusals
//!
//! An executor that will never run its attempt releases its runs and queries the replicas
//! ([`QueryRound`]). The outcome is `not-run` if a majority reports that no other attempt holds a
//! run. If a replica has a stored answer, the answer is replayed. In all other cases the outcome is
//! `unknown`. An attempt that holds the only allowed run needs no query. A concurrent attempt of
//! the same caller may still run after the query; that attempt has its own outcome. A release that
//! arrives before its claim leaves the run held until the window ends, and the outcome of the key
//! is `unknown` until then.
//!
//! # Replicas
//!
//! The [`PartitionMap`] in the store names the replicas of each partition with an epoch, and
//! changes by compare-and-swap. Claims carry the epoch, and replicas abstain from claims of an
//! older epoch, so all votes of a round belong to one epoch. A joining replica votes after it has
//! copied the claims of [`read_quorum`] synchronised replicas of the previous epoch. A replica
//! stops voting in the previous epoch when it answers a copy request, so that no majority remains
//! there. A run that two copies attribute to different attempts becomes contested and is never
//! granted again. A restarted process is a different instance and therefore not a replica.
//!
//! When fewer than a read quorum of synchronised replicas can remain, [`plan()`] resets the
//! partition: joining replicas copy from every survivor, and keys issued before the reset barrier
//! get no votes. A reset requires that the lost replicas have terminated. An unresponsive replica
//! may still grant runs to nodes that can reach it, so the plan replaces one unresponsive replica
//! at a time, and only while a read quorum of the others is live.
//!
//! # Assumptions
//!
//! Clocks are within [`SKEW_MS`] of true time, a node is reported as terminated only after its
//! process has ended, peers are not malicious, and all attempts of a key use the same `max_runs`.

pub mod key_window;
pub mod map;
pub mod partition;
mod placement;
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
