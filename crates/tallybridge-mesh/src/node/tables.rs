//! The tables of a node, which are guarded by one lock.

use std::{collections::HashMap, sync::Arc};

use tokio::time::Instant;

use super::{list_requests::ListRequests, published_load::PublishedLoad, quotas::QuotaTables};
use crate::{
    clock::BootInstant,
    platform::HeaderNames,
    protocol::{NodeRecord, PeerStatus},
    settings::MeshSettings,
    tables::{
        AdmissionControl, AnnouncedLimit, BackendNotices, ConfigurationTable, Delegates,
        EarlierNotices, FailureRate, LocalInstance, PeerTable, RetryBudgets, RunningAttempts,
        ServiceLoads, WatcherTable,
        quarantine::{DispatchedCalls, Quarantine},
    },
};

/// The mutable state of a node. All of it is lost when the process ends.
pub(super) struct Tables {
    pub(super) peers: PeerTable,
    /// Confirmations from the nodes that watch the store.
    pub(super) watchers: WatcherTable,
    pub(super) list_requests: ListRequests,
    /// Nodes that this one keeps in the registry.
    pub(super) delegates: Delegates,

    /// The back end beside this node.
    pub(super) instance: LocalInstance,
    pub(super) failure_rate: FailureRate,
    pub(super) announced_limit: AnnouncedLimit,
    /// What peers say that back ends beside this node announced before this process started.
    pub(super) earlier_notices: EarlierNotices,
    /// What the back ends of peers announced.
    pub(super) notices: BackendNotices,
    pub(super) own_service: Arc<str>,
    /// Time of the last call from the back end to each service.
    pub(super) last_calls: HashMap<Arc<str>, Instant>,
    /// Calls that run at the back end, by attempt.
    pub(super) running: RunningAttempts,
    /// Calls dispatched to the back end, by incarnation.
    pub(super) dispatched: DispatchedCalls,
    pub(super) published_load: PublishedLoad,

    pub(super) configuration: ConfigurationTable,

    pub(super) admission: AdmissionControl,
    pub(super) retries: RetryBudgets,
    pub(super) quota: QuotaTables,
    pub(super) quarantine: Quarantine,
}

impl Tables {
    pub(super) fn new(settings: &MeshSettings, record: NodeRecord, names: HeaderNames) -> Self {
        Self {
            peers: PeerTable::new(record).with_policy(settings.policy),
            watchers: WatcherTable::default(),
            list_requests: ListRequests::default(),
            delegates: Delegates::default(),
            instance: LocalInstance::default(),
            failure_rate: FailureRate::default(),
            announced_limit: AnnouncedLimit::default(),
            earlier_notices: EarlierNotices::default(),
            notices: BackendNotices::default(),
            own_service: settings.backend.service.as_str().into(),
            last_calls: HashMap::new(),
            running: RunningAttempts::default(),
            dispatched: DispatchedCalls::new(names, BootInstant::now()),
            published_load: PublishedLoad::default(),
            configuration: ConfigurationTable::default(),
            admission: AdmissionControl::new(settings.policy),
            retries: RetryBudgets::new(settings.retry),
            quota: QuotaTables::new(settings.tenants.into(), BootInstant::now()),
            quarantine: Quarantine::default(),
        }
    }

    /// Returns whether back ends of a service make nested calls.
    pub(super) fn makes_nested_calls(&self, service: &Arc<str>) -> bool {
        let mut statuses = self.peers.statuses();
        let is_own = *service == self.own_service;
        (is_own && !self.last_calls.is_empty())
            || statuses.any(|(name, status)| name == service && !status.called_services.is_empty())
    }

    /// Adapts the admitted share of fresh requests to the load of the services.
    pub(super) fn adapt_admission(&mut self, own_status: &PeerStatus) {
        let mut services = ServiceLoads::default();
        for (service, status) in self.peers.statuses() {
            let takes_work = status.backend.takes_work();
            services.add(service, status, takes_work);
        }
        let takes_work = own_status.backend.takes_work();
        services.add(&self.own_service, own_status, takes_work);
        self.admission.adapt(&services);
    }
}
