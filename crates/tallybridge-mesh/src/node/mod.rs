//! The state of one node process, and the operations on it that tasks and requests share.
//!
//! [`Node`] owns the tables behind one lock, the slots of the back end beside it and the connections
//! to that back end, the counters, and the signals that wake its tasks. Methods named after an
//! event, such as [`Node::peer_connected`], record it; async methods named after an event, such as
//! [`Node::peer_ahead`], wait for it. The methods are grouped into files by subject:
//!
//! | file | subject |
//! |---|---|
//! | `lifecycle` | readiness, planned stop, changed settings, pauses |
//! | `status` | the status published to peers, and the tick |
//! | `peers`, `registration` | the other nodes, and this node's entry in the registry |
//! | `configuration`, `store_watch` | the configuration in force, and the watch of the store |
//! | `backend`, `announcements`, `running`, `dispatched`, `quarantine` | the back end: its instance, its calls, its crashes |
//! | `admission`, `retries`, `quotas` | limits on requests |
//!
//! No method holds the lock across an `await`. All state is lost when the process ends.

mod admission;
mod announcements;
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
pub mod registration;
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
    running::{NestedCall, RunningAttempt},
    store_watch::{PendingWatch, WatchView, WatcherRole},
};
use self::{lifecycle::Lifecycle, signals::Signals, tables::Tables};
use crate::{
    clock::BootInstant,
    http::ConnectionPool,
    log::decisions::DecisionLog,
    memory::MemoryBudget,
    platform::{HeaderNames, Platform},
    protocol::NodeRecord,
    settings::MeshSettings,
    tables::backend::slots::BackendSlots,
};

/// One node process, shared by its tasks and requests.
pub struct Node {
    /// Settings as loaded at startup. Methods return those that can be reloaded.
    pub settings: MeshSettings,
    /// The platform adapter, which decodes messages and calls the store.
    pub platform: Arc<dyn Platform>,
    /// Header names of the platform.
    pub header_names: HeaderNames,
    /// Identity sent to peers and to the registry; [`Node::hello`] fills in the slots.
    pub record: NodeRecord,
    /// Slots of the back end beside this node.
    pub slots: BackendSlots,
    /// Memory for requests and answers.
    pub memory: MemoryBudget,
    /// Connections to the back end beside this node.
    pub backend: ConnectionPool,
    /// Counters for the metrics.
    pub counters: Counters,
    /// Rate-limited log of refused requests.
    pub decisions: DecisionLog,

    /// Origin of the clock by which messages to peers give times.
    started_at: BootInstant,
    tables: Mutex<Tables>,
    signals: Signals,
    lifecycle: Lifecycle,

    /// Lease of the registration; 0 for none.
    lease: AtomicU64,
    /// Whether a peer keeps this node's record in the registry.
    has_registrar: AtomicBool,
    /// Whether an entry of this node was found in the registry.
    was_listed: AtomicBool,
    has_read_registry: AtomicBool,
    /// Whether this node watches the store.
    is_watcher: AtomicBool,
    /// Whether a watch request is waiting for the store's answer.
    has_pending_watch: AtomicBool,
}

impl Node {
    /// Creates a node without peers, configuration or a verified back end.
    #[must_use]
    pub fn new(settings: MeshSettings, platform: Arc<dyn Platform>) -> Self {
        let record = NodeRecord {
            node: settings.node.clone(),
            address: settings.peer_address,
            zone: settings.zone.clone(),
            service: settings.backend.service.clone(),
            process: rand::random(),
            slots: 0,
            registers_peers: true,
            keeps_notices: true,
        };
        let header_names = platform.header_names();
        let memory = MemoryBudget::of_process(settings.memory_bytes());
        Self {
            slots: BackendSlots::default(),
            backend: ConnectionPool::new(settings.backend.address, memory.clone()),
            memory,
            counters: Counters::default(),
            decisions: DecisionLog::default(),
            started_at: BootInstant::now(),
            tables: Mutex::new(Tables::new(&settings, record.clone(), header_names)),
            signals: Signals::new(),
            lifecycle: Lifecycle::new(&settings),
            lease: AtomicU64::new(0),
            has_registrar: AtomicBool::new(false),
            was_listed: AtomicBool::new(false),
            has_read_registry: AtomicBool::new(false),
            is_watcher: AtomicBool::new(false),
            has_pending_watch: AtomicBool::new(false),
            header_names,
            record,
            settings,
            platform,
        }
    }

    fn tables(&self) -> MutexGuard<'_, Tables> {
        // A panic under the lock ends one task; the other tasks keep using the tables.
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
