//! The status that this node publishes to its peers, and the tick that keeps its state up to date.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::Instant};

use super::{Node, Tables};
use crate::{
    clock::{self, BootInstant},
    protocol::{BackendState, PeerStatus},
    tables::InstanceState,
};

/// Time after which a service no longer counts as called by the back end.
const CALLED_SERVICE_EXPIRY: Duration = Duration::from_secs(10);

impl Node {
    /// Returns the status of this node and of the back end beside it, as peers receive it.
    #[must_use]
    pub fn status(&self) -> PeerStatus {
        let load = self.load();
        let tables = self.tables();
        PeerStatus {
            backend: self.backend_state(tables.instance.state()),
            load,
            slots: tables.instance.slots(),
            version: tables.configuration.version(),
            called_services: tables.called_services(Instant::now()),
        }
    }

    /// Returns the state of the back end for peers. A planned stop of the node takes precedence
    /// over the state that the back end reports.
    fn backend_state(&self, instance: InstanceState) -> BackendState {
        match instance {
            _ if self.refuses_work() => BackendState::Leaving,
            InstanceState::Ready if self.is_stopping() => BackendState::Stopping,
            InstanceState::Ready => BackendState::Ready,
            InstanceState::Leaving => BackendState::Leaving,
            InstanceState::Unknown | InstanceState::Unreachable { .. } => BackendState::Unavailable,
        }
    }

    /// Sends the status to the nodes that have linked to this one.
    pub fn publish(&self) {
        self.signals.status.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified whenever the status needs to be sent.
    #[must_use]
    pub fn status_updates(&self) -> watch::Receiver<u64> {
        self.signals.status.subscribe()
    }

    /// Runs the periodic updates of a node: pauses, slots, links, admission, quotas and readiness.
    /// Publishes the status if the load has changed enough. Must be called every 100 ms.
    pub fn tick(&self) {
        self.handle_pauses(clock::record_tick());
        let now = Instant::now();
        self.slots.tick();
        let utilization = self.load().utilization(0);
        let own_status = self.status();
        let has_load_changed = {
            let mut tables = self.tables();
            let subset_size = u32::try_from(tables.peers.subset_size()).unwrap_or(u32::MAX);
            for (_, link) in tables.peers.links() {
                link.check(now, subset_size);
            }
            tables.adapt_admission(&own_status);
            tables.update_quotas(self.has_read_registry(), BootInstant::now());
            self.set_isolated(tables.peers.is_isolated());
            let failure_rate = tables.failure_rate.get();
            let published_load = &mut tables.published_load;
            published_load.take_if_due(utilization, failure_rate, subset_size, now)
        };
        self.select_links(now);
        if has_load_changed {
            self.publish();
        }
    }
}

impl Tables {
    /// Returns the services that the back end called within [`CALLED_SERVICE_EXPIRY`].
    fn called_services(&self, now: Instant) -> Vec<Arc<str>> {
        let last_calls = self.last_calls.iter();
        last_calls
            .filter(|(_, at)| now.saturating_duration_since(**at) < CALLED_SERVICE_EXPIRY)
            .map(|(service, _)| service.clone())
            .collect()
    }
}
