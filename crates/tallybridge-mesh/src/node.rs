//! A node: its tables, and what its tasks ask of them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{sync::watch, time::Instant};

use crate::{
    configuration::{Configuration, Route},
    door::backend::BackendPool,
    peer::link::{Link, keep_link},
    seam::{HeaderNames, InstanceReport, Platform},
    settings::MeshSettings,
    tables::{
        BackendState, InstanceState, Load, LocalInstance, NodeRecord, Parent, PeerStatus,
        PeerTable, ReportEffect, RetryBudgets, RootShedding, RunningAttempts, ServiceViews,
    },
    work::Work,
};

/// Time for which a service counts as called by the back end.
const CALLED_LATELY: Duration = Duration::from_secs(10);
/// Change of the utilization that other nodes are told of.
const TOLD_CHANGE: f64 = 0.08;

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
    configuration_confirmed: Option<Instant>,
    called: HashMap<Arc<str>, Instant>,
    told_utilization: f64,
    shedding: RootShedding,
    running: RunningAttempts,
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
    pub work: Work,
    /// Connections to the back end beside it.
    pub backend: BackendPool,
    /// Counts for its metrics.
    pub counters: Counters,
    tables: Mutex<Tables>,
    publish: watch::Sender<u64>,
    is_stopping: AtomicBool,
    refuses_work: AtomicBool,
    requests_in_flight: AtomicUsize,
    verify: tokio::sync::Notify,
    lease: AtomicU64,
    stop_grace_ms: AtomicU64,
}

impl Tables {
    /// Whether back ends of a service make calls of their own.
    fn calls_others(&self, service: &Arc<str>) -> bool {
        let mut statuses = self.peers.statuses();
        let is_own = *service == self.own_service;
        (is_own && !self.called.is_empty())
            || statuses.any(|(of, status)| of == service && !status.calls.is_empty())
    }

    /// Adapts the share of fresh requests that is let in to how full the services are.
    fn adapt_shedding(&mut self, own: &PeerStatus) {
        let mut services = ServiceViews::default();
        for (service, status) in self.peers.statuses() {
            let takes_work = status.backend.takes_work();
            services.add(service, status, takes_work);
        }
        let takes_work = own.backend.takes_work();
        services.add(&self.own_service, own, takes_work);
        self.shedding.adapt(&services);
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
        };
        let tables = Tables {
            peers: PeerTable::new(record.clone()),
            instance: LocalInstance::default(),
            retries: RetryBudgets::new(settings.retry),
            configuration: None,
            configuration_confirmed: None,
            called: HashMap::new(),
            told_utilization: 0.0,
            shedding: RootShedding::default(),
            running: RunningAttempts::default(),
            own_service: settings.backend.service.as_str().into(),
        };
        Self {
            names: platform.header_names(),
            backend: BackendPool::new(settings.backend.address),
            work: Work::default(),
            counters: Counters::default(),
            tables: Mutex::new(tables),
            publish: watch::Sender::new(0),
            is_stopping: AtomicBool::new(false),
            refuses_work: AtomicBool::new(false),
            requests_in_flight: AtomicUsize::new(0),
            verify: tokio::sync::Notify::new(),
            lease: AtomicU64::new(0),
            stop_grace_ms: AtomicU64::new(settings.stop_grace_ms),
            record,
            settings,
            platform,
        }
    }

    fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    // Configuration.

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        let tables = self.tables();
        let in_force = tables.configuration.as_ref();
        in_force.map(|in_force| in_force.configuration.clone())
    }

    /// The document of the configuration in force.
    #[must_use]
    pub fn configuration_document(&self) -> Option<Bytes> {
        let tables = self.tables();
        let in_force = tables.configuration.as_ref();
        in_force.map(|in_force| in_force.document.clone())
    }

    /// Takes a configuration into force if it is newer than the one that is.
    pub fn offer_configuration(&self, document: &Bytes) {
        let configuration = match self.platform.configuration(document) {
            Ok(configuration) => configuration,
            Err(reason) => {
                tracing::error!(reason, "configuration can't be read, the last one stays");
                return;
            }
        };
        let version = configuration.version;
        {
            let mut tables = self.tables();
            let current = tables.configuration.as_ref();
            if current.is_some_and(|current| current.configuration.version >= version) {
                return;
            }
            tables.configuration = Some(InForce {
                configuration: Arc::new(configuration),
                document: document.clone(),
            });
        }
        tracing::info!(version, "configuration in force");
        self.verify.notify_one();
        self.publish();
    }

    /// The store, or a peer, confirmed that nothing newer is there.
    pub fn configuration_confirmed(&self) {
        self.tables().configuration_confirmed = Some(Instant::now());
    }

    /// Whether the configuration was confirmed within a time.
    #[must_use]
    pub fn is_configuration_fresh(&self, within: Duration) -> bool {
        let confirmed = self.tables().configuration_confirmed;
        confirmed.is_some_and(|at| at.elapsed() <= within)
    }

    /// A linked node that has a newer configuration.
    #[must_use]
    pub fn peer_with_newer_configuration(&self) -> Option<Arc<Link>> {
        let tables = self.tables();
        let version = tables
            .configuration
            .as_ref()
            .map_or(0, |in_force| in_force.configuration.version);
        tables.peers.with_newer(version)
    }

    // The back end beside the node.

    /// Takes in a report of the back end.
    pub fn report(&self, report: &InstanceReport) {
        let effect = {
            let mut tables = self.tables();
            let effect = tables.instance.report(report, Instant::now());
            self.adopt_slots(&tables);
            effect
        };
        match effect {
            ReportEffect::Nothing => {}
            ReportEffect::Verify => self.verify.notify_one(),
            ReportEffect::Changed => {
                tracing::info!(
                    instance = report.instance,
                    state = ?report.state,
                    sequence = report.sequence,
                    "back end reported a change"
                );
                self.instance_changed();
            }
        }
    }

    fn adopt_slots(&self, tables: &Tables) {
        let own = tables.instance.slots();
        let slots = if own > 0 {
            own
        } else {
            let usual = tables.peers.usual_slots(&self.settings.backend.service);
            usual.unwrap_or(0)
        };
        self.work.set_slots(slots);
    }

    fn instance_changed(&self) {
        if self.instance_state() == InstanceState::Leaving {
            self.work.refuse_waiting();
        }
        self.publish();
    }

    /// State of the back end beside the node.
    #[must_use]
    pub fn instance_state(&self) -> InstanceState {
        self.tables().instance.state()
    }

    /// The instance that may be handed work now.
    #[must_use]
    pub fn instance_for_work(&self) -> Option<Arc<str>> {
        self.tables().instance.takes_work(Instant::now())
    }

    /// The back end answered a health check.
    pub fn instance_verified(&self, instance: &str, is_healthy: bool) {
        let changed = {
            let mut tables = self.tables();
            let changed = tables.instance.verified(instance, is_healthy);
            self.adopt_slots(&tables);
            changed
        };
        if changed {
            tracing::info!(instance, is_healthy, "back end verified");
            self.instance_changed();
        }
    }

    /// The back end could not be reached.
    pub fn instance_unreachable(&self) {
        if self.tables().instance.unreachable(Instant::now()) {
            tracing::warn!("back end can't be reached");
            self.backend.clear();
            self.instance_changed();
        }
    }

    /// The back end took a connection.
    pub fn instance_reached(&self) {
        if self.tables().instance.reached() {
            tracing::info!("back end is reached again");
            self.instance_changed();
        }
    }

    /// Another instance answered in the place of the one that is known.
    pub fn instance_misdirected(&self) {
        self.tables().instance.misdirected();
        self.backend.clear();
        self.verify.notify_one();
        self.instance_changed();
    }

    /// Waits until the back end is to be verified.
    pub async fn verification_due(&self) {
        self.verify.notified().await;
    }

    /// How busy the back end is.
    #[must_use]
    pub fn load(&self) -> Load {
        self.work.load()
    }

    // Other nodes.

    /// The introduction of this node.
    #[must_use]
    pub fn hello(&self) -> Bytes {
        // A record of plain fields always has a JSON form.
        serde_json::to_vec(&self.record).unwrap_or_default().into()
    }

    /// The nodes that this one is linked to.
    #[must_use]
    pub fn known_nodes(&self) -> Bytes {
        let records = self.tables().peers.records();
        serde_json::to_vec(&records).unwrap_or_default().into()
    }

    /// Takes in a list of nodes that a peer knows.
    pub fn learn_nodes(self: &Arc<Self>, nodes: &[u8]) {
        let records: Vec<NodeRecord> = serde_json::from_slice(nodes).unwrap_or_default();
        for record in &records {
            self.learn_node(record);
        }
    }

    /// Takes in a node, and opens a link to one that was not known.
    pub fn learn_node(self: &Arc<Self>, record: &NodeRecord) {
        let is_new = self.tables().peers.learn(record.clone(), Instant::now());
        if is_new {
            tokio::spawn(keep_link(self.clone(), record.address));
        }
    }

    /// A link to a node is open.
    pub fn peer_connected(&self, record: NodeRecord, link: Arc<Link>) {
        let mut tables = self.tables();
        tables.peers.connected(record, link, Instant::now());
    }

    /// The link to a node is lost.
    pub fn peer_disconnected(&self, address: SocketAddr) {
        self.tables().peers.disconnected(address);
    }

    /// Forgets a node that has been out of contact for long.
    #[must_use]
    pub fn forget_peer(&self, address: SocketAddr) -> bool {
        self.tables().peers.forget(address, Instant::now())
    }

    /// A node told its status.
    pub fn peer_status(&self, address: SocketAddr, status: PeerStatus) {
        let mut tables = self.tables();
        tables.peers.status(address, status, Instant::now());
        if tables.instance.slots() == 0 {
            self.adopt_slots(&tables);
        }
    }

    /// An answer told how busy its executor is.
    pub fn peer_load(&self, address: SocketAddr, load: Load) {
        self.tables().peers.load(address, load);
    }

    /// Looks at the peer table.
    pub fn with_peers<T>(&self, look: impl FnOnce(&mut PeerTable) -> T) -> T {
        look(&mut self.tables().peers)
    }

    /// Counts the first sending of a call.
    pub fn first_sent(&self, service: &Arc<str>) {
        self.tables().retries.sent(service, Instant::now());
    }

    /// Pays for sending a call again; `false` when it must not be sent.
    #[must_use]
    pub fn pays_for_repeat(&self, service: &Arc<str>) -> bool {
        let mut tables = self.tables();
        let calls_others = tables.calls_others(service);
        tables.retries.pay(service, calls_others, Instant::now())
    }

    /// The back end called a service.
    pub fn back_end_called(&self, service: &Arc<str>) {
        let now = Instant::now();
        let mut tables = self.tables();
        match tables.called.get_mut(service) {
            Some(at) => *at = now,
            None => {
                tables.called.insert(service.clone(), now);
            }
        }
    }

    /// A call begins to run at the back end; it ends when what is returned is dropped.
    #[must_use]
    pub fn attempt_runs(self: &Arc<Self>, attempt: &Bytes, parent: Parent) -> RunningAttempt {
        self.tables().running.begin(attempt, parent);
        RunningAttempt {
            node: self.clone(),
            attempt: attempt.clone(),
        }
    }

    /// The call at the back end that made a nested one.
    #[must_use]
    pub fn parent_of(&self, attempt: &[u8]) -> Option<Parent> {
        self.tables().running.parent_of(attempt)
    }

    /// Whether a fresh request is let in.
    #[must_use]
    pub fn admits(&self, route: &Route, service: &Arc<str>) -> bool {
        self.tables().shedding.admits(route, service)
    }

    /// What this node tells of itself.
    #[must_use]
    pub fn status(&self) -> PeerStatus {
        let load = self.load();
        let now = Instant::now();
        let tables = self.tables();
        let backend = match tables.instance.state() {
            _ if self.refuses_work() => BackendState::Leaving,
            InstanceState::Ready if self.is_stopping() => BackendState::Stopping,
            InstanceState::Ready => BackendState::Ready,
            InstanceState::Leaving => BackendState::Leaving,
            InstanceState::Unknown | InstanceState::Unreachable { .. } => BackendState::Unavailable,
        };
        let called = tables.called.iter();
        let calls = called
            .filter(|(_, at)| now.saturating_duration_since(**at) < CALLED_LATELY)
            .map(|(service, _)| service.clone())
            .collect();
        PeerStatus {
            backend,
            load,
            slots: tables.instance.slots(),
            version: tables
                .configuration
                .as_ref()
                .map_or(0, |in_force| in_force.configuration.version),
            calls,
        }
    }

    /// Tells the other nodes the status.
    pub fn publish(&self) {
        self.publish.send_modify(|epoch| *epoch += 1);
    }

    /// Fires when the status is to be told.
    #[must_use]
    pub fn published(&self) -> watch::Receiver<u64> {
        self.publish.subscribe()
    }

    /// Looks after the links, and tells the other nodes when the load has changed much.
    pub fn tick(&self) {
        let now = Instant::now();
        let utilization = self.load().utilization(0);
        let own = self.status();
        let is_news = {
            let mut tables = self.tables();
            for (_, link) in tables.peers.links() {
                link.check(now);
            }
            tables.adapt_shedding(&own);
            let is_news = (tables.told_utilization - utilization).abs() > TOLD_CHANGE;
            if is_news {
                tables.told_utilization = utilization;
            }
            is_news
        };
        if is_news {
            self.publish();
        }
    }

    /// The node is registered under a lease.
    pub fn registered(&self, lease: u64) {
        self.lease.store(lease, Ordering::Relaxed);
    }

    /// The lease of the registration.
    #[must_use]
    pub fn lease(&self) -> Option<u64> {
        let lease = self.lease.load(Ordering::Relaxed);
        (lease != 0).then_some(lease)
    }

    // Life.

    /// Takes in what of new settings can change while the node runs.
    pub fn take_in_settings(&self, settings: &MeshSettings) {
        let grace = settings.stop_grace_ms;
        self.stop_grace_ms.store(grace, Ordering::Relaxed);
        self.tables().retries.set(settings.retry);
    }

    /// Time until the process is killed after an order to stop.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        Duration::from_millis(self.stop_grace_ms.load(Ordering::Relaxed))
    }

    /// Whether the node has been told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop: callers and the other nodes are told. Calls are still executed, for
    /// those who find no other executor.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.publish();
    }

    /// From now on nothing new is handed to the back end.
    pub fn refuse_work(&self) {
        self.refuses_work.store(true, Ordering::Relaxed);
        self.work.refuse_waiting();
        self.publish();
    }

    /// Whether nothing new is handed to the back end since the node is about to end.
    #[must_use]
    pub fn refuses_work(&self) -> bool {
        self.refuses_work.load(Ordering::Relaxed)
    }

    /// Whether the node can serve callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.tables().configuration.is_some()
    }

    /// Requests that are being worked on.
    #[must_use]
    pub fn requests_in_flight(&self) -> usize {
        self.requests_in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request for as long as what is returned lives.
    #[must_use]
    pub fn request_begins(self: &Arc<Self>) -> RequestInFlight {
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        RequestInFlight(self.clone())
    }
}

/// A request that is being worked on.
pub struct RequestInFlight(Arc<Node>);

impl Drop for RequestInFlight {
    fn drop(&mut self) {
        self.0.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A call that runs at the back end beside the node.
pub struct RunningAttempt {
    node: Arc<Node>,
    attempt: Bytes,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.node.tables().running.end(&self.attempt);
    }
}
