//! All tables of a node, under one lock.

use std::{collections::HashMap, sync::Arc};

use tokio::time::Instant;

use super::{list_requests::ListRequests, published_load::PublishedLoad, quotas::QuotaTables};
use crate::{
    clock::BootInstant,
    platform::HeaderNames,
    protocol::{NodeRecord, PeerStatus},
    settings::MeshSettings,
    tables::{
        AdmissionControl, ConfigurationTable, FailureRate, LocalInstance, PeerTable, RetryBudgets,
        RunningAttempts, ServiceLoads, WatcherTable,
        quarantine::{DispatchedCalls, Quarantine},
    },
};

/// What a node knows and decides by. All of it is lost with the process.
pub(super) struct Tables {
    /// The other nodes.
    pub(super) peers: PeerTable,
    /// What the nodes that watch the store confirmed.
    pub(super) watchers: WatcherTable,
    /// Requests for lists of nodes.
    pub(super) list_requests: ListRequests,

    /// The back end beside this node.
    pub(super) instance: LocalInstance,
    /// How many of its calls fail.
    pub(super) failing: FailureRate,
    /// Its service.
    pub(super) own_service: Arc<str>,
    /// Services that it called, with the time of the last call.
    pub(super) called: HashMap<Arc<str>, Instant>,
    /// Calls that run at it, by attempt.
    pub(super) running: RunningAttempts,
    /// Calls that were dispatched to it, by start.
    pub(super) dispatched: DispatchedCalls,
    /// Its load as it was last sent to the other nodes.
    pub(super) published_load: PublishedLoad,

    /// The configuration in force.
    pub(super) configuration: ConfigurationTable,

    /// Which fresh requests are admitted.
    pub(super) admission: AdmissionControl,
    /// Which requests may be retried.
    pub(super) retries: RetryBudgets,
    /// Limits of tenants.
    pub(super) quota: QuotaTables,
    /// Requests that crash back ends.
    pub(super) quarantine: Quarantine,
}

impl Tables {
    /// Tables of a node that has learned nothing yet.
    pub(super) fn new(settings: &MeshSettings, record: NodeRecord, names: HeaderNames) -> Self {
        Self {
            peers: PeerTable::new(record).with_policy(settings.policy),
            watchers: WatcherTable::default(),
            list_requests: ListRequests::default(),
            instance: LocalInstance::default(),
            failing: FailureRate::default(),
            own_service: settings.backend.service.as_str().into(),
            called: HashMap::new(),
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

    /// Whether back ends of a service make calls of their own.
    pub(super) fn calls_others(&self, service: &Arc<str>) -> bool {
        let mut statuses = self.peers.statuses();
        let is_own = *service == self.own_service;
        (is_own && !self.called.is_empty())
            || statuses.any(|(of, status)| of == service && !status.called_services.is_empty())
    }

    /// Adapts the share of fresh requests that is admitted to how busy the services are.
    pub(super) fn adapt_admission(&mut self, own: &PeerStatus) {
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
