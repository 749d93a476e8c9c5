//! What a node knows: the back end beside it, and the other nodes.

pub mod failures;
pub mod incarnation;
pub mod instance;
pub mod leavers;
pub mod load;
pub mod peers;
pub mod retries;
pub mod running;
pub mod shedding;
pub mod slot_times;
pub mod watchers;

pub use failures::{FailingChange, FailingShare};
pub use incarnation::Incarnation;
pub use instance::{Ended, InstanceState, LocalInstance, ReportEffect};
pub use load::Load;
pub use peers::{
    BackendState, Choice, Executor, LinkOrder, NodeRecord, PeerStatus, PeerTable, TenantHome,
};
pub use retries::{FirstSending, Repeat, RetryBudgets};
pub use running::{FoundParent, NestedEnd, Parent, RunningAttempts};
pub use shedding::{RootShedding, ServiceViews};
pub use slot_times::{ServiceTime, SlotTimes};
pub use watchers::WatcherTable;
