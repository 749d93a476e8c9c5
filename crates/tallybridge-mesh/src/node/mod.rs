//! A node: its tables, and what its tasks ask of them.

mod admission;
mod backend;
mod configuration;
mod lifecycle;
mod peers;
mod quarantine;
mod quotas;
mod registration;
mod retries;
mod running;
mod status;
mod store_watch;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tallybridge_core::ErrorKind;
use tokio::{sync::watch, time::Instant};

use self::quotas::QuotaTables;
pub use self::{
    configuration::Confirmed,
    lifecycle::RequestInFlight,
    quarantine::DispatchedCall,
    running::{NestedCall, RunningAttempt},
    store_watch::{PendingWatch, WatchView, WatcherRole},
};
use crate::{
    clock::{self, BootInstant},
    configuration::Configuration,
    http::ConnectionPool,
    log::decisions::DecisionLog,
    platform::{HeaderNames, Platform},
    protocol::{NodeRecord, PeerStatus},
    settings::MeshSettings,
    tables::{
        AdmissionControl, FailureRate, LinkRequest, LocalInstance, PeerTable, RetryBudgets,
        RunningAttempts, ServiceLoads, WatcherTable,
        backend::slots::BackendSlots,
        quarantine::{DispatchedCalls, Quarantine},
    },
};

/// Time for which a service counts as called by the back end.
const CALLED_LATELY: Duration = Duration::from_secs(10);
/// Each node that this one links to, and that is about as likely to have linked to it, adds this to
/// the least time between two tellings of the load. Whoever sends calls to a back end learns of its
/// load with each answer; the tellings are for the others.
const TELL_PER_NODE: Duration = Duration::from_millis(4);
/// Peers that are asked for the nodes that they know, besides the register.
const LISTS_ASKED: u32 = 3;
/// Least time between further lists, while this node is not registered.
const LIST_PAUSE: Duration = Duration::from_millis(500);
/// Change of the utilization that other nodes are told of.
const TOLD_CHANGE: f64 = 0.08;
/// Change of the share of calls that end badly that other nodes are told of.
const TOLD_FAILING: f64 = 0.1;

/// The configuration in force, with the document that it was read from.
struct InForce {
    configuration: Arc<Configuration>,
    document: Bytes,
}

struct Tables {
    peers: PeerTable,
    instance: LocalInstance,
    retries: RetryBudgets,
    configuration: Option<InForce>,
    /// When the store, or a peer that watches it, last confirmed the configuration.
    configuration_confirmed: Option<BootInstant>,
    /// When the store last confirmed it to this node itself.
    confirmed_by_store: Option<BootInstant>,
    /// When the store was asked for the newest configuration of which this node knows that it was
    /// read, here or at a peer, and is not newer than the one in force. Unlike a confirmation, which
    /// rests on a watch that may be lost, no key that was taken away before can still be in force.
    read_at: Option<BootInstant>,
    quota: QuotaTables,
    /// Version in force when the store last told this node of one.
    version_from_store: u64,
    watchers: WatcherTable,
    called: HashMap<Arc<str>, Instant>,
    told_utilization: f64,
    told_failing: f64,
    told_at: Option<Instant>,
    lists_asked: u32,
    list_asked_at: Option<Instant>,
    admission: AdmissionControl,
    running: RunningAttempts,
    dispatched: DispatchedCalls,
    quarantine: Quarantine,
    failing: FailureRate,
    own_service: Arc<str>,
}

/// Counts of a node's requests, for its metrics.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that were read.
    pub requests: AtomicU64,
    /// Requests answered by a back end.
    pub answered: AtomicU64,
    /// Requests refused or failed by tallybridge.
    pub refused: AtomicU64,
    /// Requests sent again.
    pub repeats: AtomicU64,
    /// Calls executed at the back end beside the node.
    pub executed: AtomicU64,
    /// Connections opened to the back end.
    pub connections: AtomicU64,
    /// Health checks of the back end.
    pub health_checks: AtomicU64,
    /// Calls to the platform's store.
    pub store_calls: AtomicU64,
    /// Times that the home of a tenant was asked for tokens.
    pub quota_asks: AtomicU64,
    /// Requests refused for want of a known key.
    pub unknown_keys: AtomicU64,
    /// Requests refused since their tenant is at its limit.
    pub over_quota: AtomicU64,
    /// Requests with a key refused since the configuration may be too old.
    pub stale_configuration: AtomicU64,
    /// Times that the back end beside the node ended without notice.
    pub crashes: AtomicU64,
    /// Requests refused since back ends ended under the same request before.
    pub quarantined: AtomicU64,
}

impl Counters {
    /// Counts a request that was refused at its entry.
    pub fn count_refused(&self, kind: ErrorKind) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        let of_kind = match kind {
            ErrorKind::UnknownKey => &self.unknown_keys,
            ErrorKind::OverQuota => &self.over_quota,
            ErrorKind::StaleConfiguration => &self.stale_configuration,
            ErrorKind::Quarantined => &self.quarantined,
            _ => return,
        };
        of_kind.fetch_add(1, Ordering::Relaxed);
    }
}

/// One node. Tasks share it; each look at its tables is short and holds no other lock.
pub struct Node {
    /// Its settings.
    pub settings: MeshSettings,
    /// The platform that it runs on.
    pub platform: Arc<dyn Platform>,
    /// Header names of the platform.
    pub names: HeaderNames,
    /// Who it is.
    pub record: NodeRecord,
    /// Slots of the back end beside it.
    pub slots: BackendSlots,
    /// Connections to the back end beside it.
    pub backend: ConnectionPool,
    /// Counts for its metrics.
    pub counters: Counters,
    /// Log lines about single requests.
    pub decisions: DecisionLog,
    began: BootInstant,
    tables: Mutex<Tables>,
    publish: watch::Sender<u64>,
    /// Links that are to be opened.
    link_requests: watch::Sender<Vec<LinkRequest>>,
    is_stopping: AtomicBool,
    refuses_work: AtomicBool,
    is_isolated: AtomicBool,
    requests_in_flight: AtomicUsize,
    verify: tokio::sync::Notify,
    /// Counts the times that the back end started again under its id.
    restarts: watch::Sender<u64>,
    lease: AtomicU64,
    stop_grace_ms: AtomicU64,
    record_changed: tokio::sync::Notify,
    watch_pending: AtomicBool,
    watch_suspected: tokio::sync::Notify,
    is_watcher: AtomicBool,
    became_watcher: tokio::sync::Notify,
    confirmations: watch::Sender<u64>,
    peer_ahead: tokio::sync::Notify,
    has_read_registry: AtomicBool,
    call_lost: tokio::sync::Notify,
    quarantine_grew: tokio::sync::Notify,
    pauses: AtomicU64,
    resumed: tokio::sync::Notify,
}

impl Tables {
    /// Version of the configuration in force; 0 for none.
    fn version(&self) -> u64 {
        let in_force = self.configuration.as_ref();
        in_force.map_or(0, |in_force| in_force.configuration.version)
    }

    /// Whether back ends of a service make calls of their own.
    fn calls_others(&self, service: &Arc<str>) -> bool {
        let mut statuses = self.peers.statuses();
        let is_own = *service == self.own_service;
        (is_own && !self.called.is_empty())
            || statuses.any(|(of, status)| of == service && !status.calls.is_empty())
    }

    /// Whether the other nodes are to be told of the load, which is then taken as told.
    fn is_load_news(&mut self, utilization: f64, subset_size: u32, now: Instant) -> bool {
        let rests = self
            .told_at
            .is_some_and(|at| now.saturating_duration_since(at) < TELL_PER_NODE * subset_size);
        let failing = self.failing.get();
        // A back end that begins to fail draws calls at once, so that news does not rest.
        let fails_more = failing - self.told_failing > TOLD_FAILING;
        let has_changed = (self.told_utilization - utilization).abs() > TOLD_CHANGE
            || (self.told_failing - failing).abs() > TOLD_FAILING;
        if !fails_more && (rests || !has_changed) {
            return false;
        }
        self.told_utilization = utilization;
        self.told_failing = failing;
        self.told_at = Some(now);
        true
    }

    /// Adapts the share of fresh requests that is let in to how full the services are.
    fn adapt_shedding(&mut self, own: &PeerStatus) {
        let mut services = ServiceLoads::default();
        for (service, status) in self.peers.statuses() {
            let takes_work = status.backend.takes_work();
            services.add(service, status, takes_work);
        }
        let takes_work = own.backend.takes_work();
        services.add(&self.own_service, own, takes_work);
        self.admission.adapt(&services);
    }
}

impl Node {
    /// A node that knows nothing yet.
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
        let tables = Tables {
            peers: PeerTable::new(record.clone()).with_policy(settings.policy),
            instance: LocalInstance::default(),
            retries: RetryBudgets::new(settings.retry),
            configuration: None,
            configuration_confirmed: None,
            confirmed_by_store: None,
            read_at: None,
            quota: QuotaTables::new(settings.tenants.into(), BootInstant::now()),
            version_from_store: 0,
            watchers: WatcherTable::default(),
            called: HashMap::new(),
            told_utilization: 0.0,
            told_failing: 0.0,
            told_at: None,
            lists_asked: 0,
            list_asked_at: None,
            admission: AdmissionControl::new(settings.policy),
            running: RunningAttempts::default(),
            dispatched: DispatchedCalls::new(platform.header_names(), BootInstant::now()),
            quarantine: Quarantine::default(),
            failing: FailureRate::default(),
            own_service: settings.backend.service.as_str().into(),
        };
        Self {
            names: platform.header_names(),
            backend: ConnectionPool::new(settings.backend.address),
            slots: BackendSlots::default(),
            counters: Counters::default(),
            decisions: DecisionLog::default(),
            began: BootInstant::now(),
            tables: Mutex::new(tables),
            publish: watch::Sender::new(0),
            link_requests: watch::Sender::new(Vec::new()),
            is_stopping: AtomicBool::new(false),
            refuses_work: AtomicBool::new(false),
            is_isolated: AtomicBool::new(false),
            requests_in_flight: AtomicUsize::new(0),
            verify: tokio::sync::Notify::new(),
            restarts: watch::Sender::new(0),
            lease: AtomicU64::new(0),
            stop_grace_ms: AtomicU64::new(settings.stop_grace_ms),
            record_changed: tokio::sync::Notify::new(),
            watch_pending: AtomicBool::new(false),
            watch_suspected: tokio::sync::Notify::new(),
            is_watcher: AtomicBool::new(false),
            became_watcher: tokio::sync::Notify::new(),
            confirmations: watch::Sender::new(0),
            peer_ahead: tokio::sync::Notify::new(),
            has_read_registry: AtomicBool::new(false),
            call_lost: tokio::sync::Notify::new(),
            quarantine_grew: tokio::sync::Notify::new(),
            pauses: AtomicU64::new(clock::record_tick().count),
            resumed: tokio::sync::Notify::new(),
            record,
            settings,
            platform,
        }
    }

    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
