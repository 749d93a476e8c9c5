//! What the other nodes get of this one, and the tick that keeps it up to date.

use std::{sync::Arc, time::Duration};

use tokio::{sync::watch, time::Instant};

use super::{Node, Tables};
use crate::{
    clock::{self, BootInstant},
    protocol::{BackendState, PeerStatus},
    tables::InstanceState,
};

/// Time after its last call for which a service counts as called by the back end. Origin not recorded.
const CALLED_FOR: Duration = Duration::from_secs(10);

impl Node {
    /// The status of this node and of the back end beside it.
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

    /// The state of the back end for other nodes: the node's own stop comes before what the back end says.
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

    /// Changes when the status is to be sent.
    #[must_use]
    pub fn published(&self) -> watch::Receiver<u64> {
        self.signals.status.subscribe()
    }

    /// Runs the systems that work on the tables, each 100 ms: pauses, slots, links, admission,
    /// quota ownership and readiness. Publishes the status when the load has changed enough.
    pub fn tick(&self) {
        self.note_pauses(clock::record_tick());
        let now = Instant::now();
        self.slots.tick();
        let utilization = self.load().utilization(0);
        let own = self.status();
        let has_load_changed = {
            let mut tables = self.tables();
            let subset_size = u32::try_from(tables.peers.subset_size()).unwrap_or(u32::MAX);
            for (_, link) in tables.peers.links() {
                link.check(now, subset_size);
            }
            tables.adapt_admission(&own);
            tables.note_reached(self.has_read_registry(), BootInstant::now());
            self.set_isolated(tables.peers.is_isolated());
            let failing = tables.failing.get();
            let published = &mut tables.published_load;
            published.update(utilization, failing, subset_size, now)
        };
        self.select_links(now);
        if has_load_changed {
            self.publish();
        }
    }
}

impl Tables {
    /// Services that the back end called within [`CALLED_FOR`].
    fn called_services(&self, now: Instant) -> Vec<Arc<str>> {
        let called = self.called.iter();
        called
            .filter(|(_, at)| now.saturating_duration_since(**at) < CALLED_FOR)
            .map(|(service, _)| service.clone())
            .collect()
    }
}
