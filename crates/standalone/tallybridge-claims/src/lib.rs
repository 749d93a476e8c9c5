//! tallybridge-claims: at most once, and refusals that are true.
//!
//! # At most once
//!
//! **Guarantees.** (1) A request runs at most `max_runs` times over all attempts, wherever they
//! entered: once for a call that must not be repeated, `1 + retry allowance` for one that may.
//! (2) When a caller is told `not-run`, its attempt has not run and never will, and no other attempt
//! had run when the executor began to ask. (3) A replayed answer is the answer of a run.
//!
//! **Weighed.** A write to the store for each payment: rate limit, and outages stop payments. The
//! memory of one node for each key: a replaced machine forgets. Leases on keys: a paused holder
//! wakes and runs after its lease. Counting runs at each replica: with three replicas that each
//! count up to two, three attempts can each find a majority. Chosen: numbered runs of a key, each
//! given to at most one attempt for good by a majority of three replicas.
//!
//! **Claims.** A key belongs to one of [`PARTITIONS`] by its digest. The executor claims, after it
//! holds an admission permit and before it hands the call to its back end, the lowest run that a
//! majority of the partition's replicas gives it ([`ClaimRound`]). Claims do not lapse: an executor
//! that was paused still holds its run and nobody else does. Keys are dated (UUIDv7); replicas
//! grant keys dated within [`WINDOW_MS`] and remember them for two skews longer, so that a replica
//! whose clock is behind never grants what one whose clock is ahead has forgotten.
//!
//! **Refusals.** An executor that will never run its attempt releases its runs and asks the
//! replicas whether another attempt holds one ([`QueryRound`]). A majority that knows of none
//! proves `not-run`; anything else is `unknown`. No query is needed by an attempt that holds the only
//! run of a key. `not-run` speaks of the time when the question was asked: a second attempt that the
//! caller has under way at that moment may still run, and gives its own answer. Excluding that too
//! would take a lock on the key until the caller has the answer, which no node can know.
//!
//! **Replicas.** The [`PartitionMap`] in the store names the replicas of each partition with an
//! epoch, and changes by compare-and-swap; a claim carries the epoch, and a replica that knows a
//! greater one refuses it. The store is not on the path of a call. Every vote counts within one
//! epoch. A replica that joins votes after it has copied the claims of [`read_quorum`] previous
//! replicas that are themselves synchronised; each, by answering, leaves the epoch before, so that no
//! majority is left there. Two sources that gave one run to different attempts leave it *contested*:
//! nobody is given it again. A restarted process is another instance, hence no replica.
//!
//! **Loss.** When fewer than a read quorum of synchronised replicas can be left, [`plan()`] resets the
//! partition: those that join copy from every survivor, and keys dated before the reset, three skews
//! ahead, are not voted on (`unknown`). This rests on the lost replicas having *ended*. One that only
//! does not answer could still grant with others on its side of a cut, so it is replaced, one at a
//! time, only while a read quorum of the others is live; a partition cut off from a majority of its
//! replicas waits for them.
//!
//! **Assumptions.** Clocks of nodes are within [`SKEW_MS`] of true time; a node is reported as ended
//! only when its process is; peers are not malicious; all attempts of a key state the same
//! `max_runs`.
//!
//! **Proof.** `tests/at_most_once.rs` runs a simulated fleet against a plain record of executions;
//! guards that random sequences reach too seldom have tests of their own. Argued but not yet seen
//! failing without their guard: the length of the reset barrier (that there is one is tested), the
//! copy from survivors at a reset, that a source of a copy must itself be synchronised, and that a
//! silent replica does not count as ended.
//!
//! **Limits.** A release that overtakes its own claim leaves the run held until the window ends, so
//! the key is answered `unknown` until then: safe, but no more than that.
//!
//! **Cost.** One round trip to the second fastest of three replicas for a call that needs a claim,
//! none for a key that the entry node itself has just drawn and sends once. Memory as counted by the
//! `claim_memory` example: 148 bytes for a remembered key, 410 with an answer of 256 bytes. From
//! this, 1,000 claims/s at 920 nodes fill a window with 2,935 keys a node (0.4 MB; 1.2 MB with such
//! answers). A vote took 0.2 µs with 10,000 remembered keys and 0.8 µs with a million (`claims`
//! bench, one run on a busy machine).

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
