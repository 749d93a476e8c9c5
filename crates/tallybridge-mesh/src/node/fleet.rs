//! What a node tells the others, and knows of them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use tokio::{sync::watch, time::Instant};

use super::{CALLED_LATELY, LIST_PAUSE, LISTS_ASKED, Node};
use crate::{
    clock::{self, Moment},
    configuration::Route,
    peer::{dial::keep_link, link::Link},
    tables::{
        BackendState, FirstSending, FoundParent, InstanceState, LinkOrder, Load, NestedEnd,
        NodeRecord, Parent, PeerStatus, PeerTable, Repeat, SlotTimes,
    },
    tenants::TenantRank,
};

/// Time that a call of a service takes at the least as long as nobody told: enough for the service
/// to count as needed by the request that it is part of.
const LEAST_CALL_TIME: Duration = Duration::from_millis(1);

impl Node {
    /// The introduction of this node. Until its back end has told how many slots it has, it gives
    /// the number that others of the service have, so that the register does not lose it.
    #[must_use]
    pub fn hello(&self) -> Bytes {
        let record = NodeRecord {
            slots: self.own_or_usual_slots(&self.tables()),
            ..self.record.clone()
        };
        // A record of plain fields always has a JSON form.
        serde_json::to_vec(&record).unwrap_or_default().into()
    }

    /// The nodes that this one is linked to.
    #[must_use]
    pub fn known_nodes(&self) -> Bytes {
        let records = self.tables().peers.records();
        serde_json::to_vec(&records).unwrap_or_default().into()
    }

    /// Whether a peer is to be asked for the nodes that it knows: the first few are, and one now and
    /// then while this node could not register. The list grows with the fleet, so not every link
    /// carries it.
    #[must_use]
    pub fn wants_nodes(&self) -> bool {
        let is_registered = self.lease().is_some();
        let now = Instant::now();
        let mut tables = self.tables();
        let rests = tables
            .list_asked_at
            .is_some_and(|at| now.saturating_duration_since(at) < LIST_PAUSE);
        let wants = tables.lists_asked < LISTS_ASKED || (!is_registered && !rests);
        if wants {
            tables.lists_asked += 1;
            tables.list_asked_at = Some(now);
        }
        wants
    }

    /// Takes in a list of nodes that a peer knows.
    pub fn learn_nodes(self: &Arc<Self>, nodes: &[u8]) {
        let records: Vec<NodeRecord> = serde_json::from_slice(nodes).unwrap_or_default();
        self.learn_records(records);
    }

    /// Takes in nodes, and opens links to those that are to be linked to.
    pub fn learn_records(self: &Arc<Self>, records: impl IntoIterator<Item = NodeRecord>) {
        let now = Instant::now();
        let mut tables = self.tables();
        for record in records {
            tables.peers.learn(record, now);
        }
        drop(tables);
        self.settle_links(now);
    }

    /// Opens the links that are wanted and not there.
    fn settle_links(self: &Arc<Self>, now: Instant) {
        let orders = self.tables().peers.settle(now);
        for order in orders {
            tokio::spawn(keep_link(self.clone(), order));
        }
    }

    /// A link to a node is open; `false` when it is not wanted any more.
    pub fn peer_connected(&self, order: LinkOrder, record: NodeRecord, link: Arc<Link>) -> bool {
        let peers = &mut self.tables().peers;
        peers.is_wanted(order) && peers.connected(record, link, Instant::now())
    }

    /// The link to a node is lost.
    pub fn peer_disconnected(&self, address: SocketAddr, link: &Arc<Link>) {
        let mut tables = self.tables();
        tables.peers.disconnected(address, link);
        tables.watchers.remove(address);
    }

    /// A link could not be opened.
    pub fn peer_unreachable(&self, order: LinkOrder) {
        self.tables().peers.unreachable(order);
    }

    /// Whether a link is not to be opened again.
    #[must_use]
    pub fn forget_peer(&self, order: LinkOrder) -> bool {
        self.tables().peers.forget(order, Instant::now())
    }

    /// Drops spare nodes that nobody has named for long.
    pub fn forget_spare_nodes(&self) {
        self.tables().peers.forget_spares(Instant::now());
    }

    /// A node told its status.
    pub fn peer_status(&self, address: SocketAddr, status: PeerStatus) {
        let mut tables = self.tables();
        let version = status.version;
        tables.peers.status(address, status, Instant::now());
        if version > tables.version() {
            self.peer_ahead.notify_one();
        }
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
    pub fn first_sent(&self, service: &Arc<str>, sending: FirstSending) {
        self.tables().retries.sent(service, sending, Moment::now());
    }

    /// Pays for sending a call again; `false` when it must not be sent.
    #[must_use]
    pub fn pays_for_repeat(&self, service: &Arc<str>, is_urgent: bool) -> bool {
        let mut tables = self.tables();
        let repeat = Repeat {
            calls_others: tables.calls_others(service),
            is_urgent,
        };
        tables.retries.pay(service, repeat, Moment::now())
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

    /// The call at the back end that made the one of this name, which is nested for as long as
    /// what is returned lives.
    #[must_use]
    pub fn nested(self: &Arc<Self>, attempt: &[u8]) -> Option<NestedCall> {
        let mut tables = self.tables();
        let found = tables.running.parent_of(attempt)?;
        tables.running.nested_begins(&found.attempt);
        Some(NestedCall {
            node: self.clone(),
            found,
            end: NestedEnd::Badly(SlotTimes::default()),
        })
    }

    /// Whether a call that runs at the back end has made a nested one.
    #[must_use]
    pub fn has_called(&self, attempt: &Bytes) -> bool {
        self.tables().running.has_called(attempt)
    }

    /// What a call costs that runs at the back end and has held its slot for `held`.
    #[must_use]
    pub fn slot_times(&self, attempt: &Bytes, held: Duration) -> SlotTimes {
        let tables = self.tables();
        let mut times = tables.running.times_below(attempt);
        times.add(&tables.own_service, held);
        times
    }

    /// Time for which a call holds a slot of a service at its fastest back end, as the nodes beside
    /// these tell; [`LEAST_CALL_TIME`] while none does.
    fn least_call_time(&self, service: &str) -> Duration {
        let tables = self.tables();
        let told = tables.peers.call_times(service).min();
        told.unwrap_or_default().max(LEAST_CALL_TIME)
    }

    /// A back end answered a request of a route, well or with a failure of its own, after it held
    /// slots for these times.
    pub fn route_answered(&self, route: &Route, rank: TenantRank, well: bool, times: &SlotTimes) {
        self.tables().shedding.answered(route, rank, well, times);
    }

    /// A request of a route that was let in ended without an answer of a back end.
    pub fn route_unanswered(&self, route: &Route, rank: TenantRank) {
        self.tables().shedding.unanswered(route, rank);
    }

    /// What a request of each route costs each service that it is known to need: the route, the
    /// service, milliseconds of slots. Of ranks of tenants the greatest counts.
    #[must_use]
    pub fn route_costs(&self) -> BTreeMap<(Arc<str>, Arc<str>), f64> {
        let tables = self.tables();
        let mut costs = BTreeMap::new();
        for cost in tables.shedding.route_costs() {
            let key = (cost.route.clone(), cost.service.clone());
            let greatest: &mut f64 = costs.entry(key).or_default();
            *greatest = greatest.max(cost.seconds * 1000.0);
        }
        costs
    }

    /// Routes of which not every fresh request is let in, with the least share that is.
    #[must_use]
    pub fn shed_routes(&self) -> BTreeMap<Arc<str>, f64> {
        let tables = self.tables();
        let mut routes = BTreeMap::new();
        for (route, share) in tables.shedding.shed_routes() {
            let least = routes.entry(route.clone()).or_insert(share);
            *least = share.min(*least);
        }
        routes
    }

    /// Whether a fresh request is let in.
    #[must_use]
    pub fn admits(&self, route: &Route, service: &Arc<str>, rank: TenantRank) -> bool {
        self.tables().shedding.admits(route, service, rank)
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
            version: tables.version(),
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
    pub fn tick(self: &Arc<Self>) {
        self.note_pauses(clock::tick());
        let now = Instant::now();
        self.work.tick();
        let utilization = self.load().utilization(0);
        let own = self.status();
        let is_news = {
            let mut tables = self.tables();
            let subset_size = u32::try_from(tables.peers.subset_size()).unwrap_or(u32::MAX);
            for (_, link) in tables.peers.links() {
                link.check(now, subset_size);
            }
            tables.adapt_shedding(&own);
            tables.note_reached(self.has_read_register(), Moment::now());
            self.set_isolated(tables.peers.is_isolated());
            tables.is_load_news(utilization, subset_size, now)
        };
        self.settle_links(now);
        if is_news {
            self.publish();
        }
    }

    /// Waits until what the node registers of itself has changed.
    pub async fn record_changed(&self) {
        self.record_changed.notified().await;
    }

    /// The register was read: the nodes that were there are known.
    pub fn register_read(&self) {
        self.has_read_register.store(true, Ordering::Relaxed);
    }

    /// Whether the register was read since the start.
    #[must_use]
    pub fn has_read_register(&self) -> bool {
        self.has_read_register.load(Ordering::Relaxed)
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
}

/// A call that runs at the back end beside the node.
pub struct RunningAttempt {
    node: Arc<Node>,
    attempt: Bytes,
}

/// A call that the back end beside the node made for one that runs there.
pub struct NestedCall {
    node: Arc<Node>,
    found: FoundParent,
    end: NestedEnd,
}

impl NestedCall {
    /// What it inherits.
    #[must_use]
    pub const fn parent(&self) -> Parent {
        self.found.parent
    }

    /// It is sent to a service. If it gets no answer, that service was needed all the same.
    pub fn sent_to(&mut self, service: &Arc<str>) {
        let mut least = SlotTimes::default();
        least.add(service, self.node.least_call_time(service));
        self.end = NestedEnd::Badly(least);
    }

    /// It ended like this. If it ended badly, the call that made it may fail for it.
    pub fn ended(&mut self, end: NestedEnd) {
        self.end = end;
    }
}

impl Drop for NestedCall {
    fn drop(&mut self) {
        let parent = &self.found.attempt;
        let mut tables = self.node.tables();
        tables.running.nested_ended(parent, &self.end);
    }
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.node.tables().running.end(&self.attempt);
    }
}
