//! Duties that one node of the fleet holds at a time.
//!
//! A duty is a key attached to a lease. Its holder may only act while its [`Fence`] says that the
//! lease is surely held, which it works out from its own monotonic clock, counted from before the
//! request that last extended the lease was sent. What the fence can't rule out, such as a holder
//! that is paused between asking the fence and its write arriving, the store does: every write
//! under a duty goes through a [`GuardedKey`] and carries the version that it builds on and the
//! holder's fencing token (Kleppmann, "How to do distributed locking", 2016).
//!
//! The clock must not stand still while the store's goes on. `CLOCK_MONOTONIC`, which it is on
//! Linux, goes on while a process is stopped but not while the machine is suspended; after that,
//! guarded writes are what is left.

mod acquire;
mod fence;
mod guarded;
mod holder;
mod options;

pub use acquire::{Acquired, CurrentHolder};
pub use fence::{Fence, FencingToken, Lapsed};
pub use guarded::{GuardedError, GuardedKey};
pub use holder::LeaseHolder;
pub use options::{DutyOptions, duty_key};
