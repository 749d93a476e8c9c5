//! A node: the state of one process, and the operations on it that tasks and requests share.
//!
//! [`Node`] owns the tables behind one lock, the slots of the back end beside it and the
//! connections to that, the counters, and the signals that wake its tasks. Its methods stand in one
//! file a subject:
//!
//! | file | subject |
//! |---|---|
//! | `lifecycle` | readiness, planned stop, changed settings, pauses |
//! | `status` | what the other nodes get of this one, and the tick |
//! | `peers`, `registration` | the other nodes, and the entry in the registry |
//! | `configuration`, `store_watch` | the configuration in force, and who watches the store |
//! | `backend`, `running`, `dispatched`, `quarantine` | the back end: its instance, its calls, its crashes |
//! | `admission`, `retries`, `quotas` | what requests may do |
//!
//! A method holds the lock for a moment and never across an `await`. Nothing here survives the process.

mod admission;
mod backend;
mod configuration;
mod counters;
mod dispatched;
mod lifecycle;
mod list_requests;
mod peers;
mod published_load;
mod quarantine;
mod quotas;
mod registration;
mod retries;
mod running;
mod signals;
mod status;
mod store_watch;
mod tables;

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64},
};

pub use self::{
    counters::Counters,
    dispatched::DispatchedCall,
    lifecycle::RequestInFlight,
    running::{NestedCall, RunningAttempt},
    store_watch::{PendingWatch, WatchView, WatcherRole},
};
use self::{lifecycle::Lifecycle, signals::Signals, tables::Tables};
use crate::{
    clock::BootInstant,
    http::ConnectionPool,
    log::decisions::DecisionLog,
    platform::{HeaderNames, Platform},
    protocol::NodeRecord,
    settings::MeshSettings,
    tables::backend::slots::BackendSlots,
};

/// One node. Tasks and requests share it.
pub struct Node {
    /// Its settings at the start. Those that can change later are read through methods.
    pub settings: MeshSettings,
    /// The platform that it runs on.
    pub platform: Arc<dyn Platform>,
    /// Header names of the platform.
    pub names: HeaderNames,
    /// Its identity, as peers and the registry get it; slots are filled in by [`Node::hello`].
    pub record: NodeRecord,
    /// Slots of the back end beside it.
    pub slots: BackendSlots,
    /// Connections to the back end beside it.
    pub backend: ConnectionPool,
    /// Counters for its metrics.
    pub counters: Counters,
    /// Log lines about single requests.
    pub decisions: DecisionLog,

    /// Start of the clock that this node shows its peers.
    began: BootInstant,
    tables: Mutex<Tables>,
    signals: Signals,
    lifecycle: Lifecycle,

    /// Lease of the registration; 0 for none.
    lease: AtomicU64,
    /// Whether the registry was read since the start.
    has_read_registry: AtomicBool,
    /// Whether this node watches the store.
    is_watcher: AtomicBool,
    /// Whether a watch waits for the store's answer.
    watch_pending: AtomicBool,
}

impl Node {
    /// A node that has learned nothing yet.
    #[must_use]
    pub fn new(settings: MeshSettings, platform: Arc<dyn Platform>) -> Self {
        let record = NodeRecord {
            node: settings.node.clone(),
            address: settings.peer_address,
            zone: settings.zone.clone(),
            service: settings.backend.service.clone(),
            process: rand::random(),
            slots: 0,
        };
        let names = platform.header_names();
        Self {
            slots: BackendSlots::default(),
            backend: ConnectionPool::new(settings.backend.address),
            counters: Counters::default(),
            decisions: DecisionLog::default(),
            began: BootInstant::now(),
            tables: Mutex::new(Tables::new(&settings, record.clone(), names)),
            signals: Signals::new(),
            lifecycle: Lifecycle::new(&settings),
            lease: AtomicU64::new(0),
            has_read_registry: AtomicBool::new(false),
            is_watcher: AtomicBool::new(false),
            watch_pending: AtomicBool::new(false),
            names,
            record,
            settings,
            platform,
        }
    }

    fn tables(&self) -> MutexGuard<'_, Tables> {
        // A panic under the lock ends one task; the others go on with the tables as they are.
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
