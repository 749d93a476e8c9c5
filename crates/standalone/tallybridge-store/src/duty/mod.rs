//! Duties: tasks that one node of the fleet holds at a time.
//!
//! A duty is a key attached to a lease. The holder may act only while its [`Fence`] reports the
//! lease as valid, measured on the local monotonic clock from before the last renewal was sent. A
//! holder can still be paused between this check and its write. Each write therefore goes through
//! a [`GuardedKey`], which compares the version of the key and the fencing token of the holder
//! (Kleppmann, "How to do distributed locking", 2016).
//!
//! On Linux the clock is `CLOCK_MONOTONIC`, which stops while the machine is suspended. After a
//! suspension only the guarded writes protect against two holders.

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
