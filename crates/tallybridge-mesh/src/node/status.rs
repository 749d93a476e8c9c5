//! What this node tells the others of itself, and the tick that keeps that true.

use tokio::{sync::watch, time::Instant};

use super::{CALLED_LATELY, Node};
use crate::{
    clock::{self, BootInstant},
    protocol::{BackendState, PeerStatus},
    tables::InstanceState,
};

impl Node {
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
    pub fn tick(&self) {
        self.note_pauses(clock::record_tick());
        let now = Instant::now();
        self.slots.tick();
        let utilization = self.load().utilization(0);
        let own = self.status();
        let is_news = {
            let mut tables = self.tables();
            let subset_size = u32::try_from(tables.peers.subset_size()).unwrap_or(u32::MAX);
            for (_, link) in tables.peers.links() {
                link.check(now, subset_size);
            }
            tables.adapt_shedding(&own);
            tables.note_reached(self.has_read_registry(), BootInstant::now());
            self.set_isolated(tables.peers.is_isolated());
            tables.is_load_news(utilization, subset_size, now)
        };
        self.select_links(now);
        if is_news {
            self.publish();
        }
    }
}
