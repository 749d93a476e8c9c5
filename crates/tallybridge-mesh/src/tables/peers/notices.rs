//! What the back ends of other nodes announced in the answers that this node passed on.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::protocol::BackendNotice;

/// Time after which a notice is no longer given back. A back end that still announces something has
/// answered some entry since.
const NOTICE_LIFETIME: Duration = Duration::from_secs(60);

/// The last notice of each executor, by its address.
#[derive(Debug, Default)]
pub struct BackendNotices(HashMap<SocketAddr, (BackendNotice, Instant)>);

impl BackendNotices {
    /// Records the notice of an executor, and forgets expired ones.
    pub fn record(&mut self, executor: SocketAddr, notice: BackendNotice, now: Instant) {
        self.0.retain(|_, (_, heard_at)| is_current(*heard_at, now));
        self.0.insert(executor, (notice, now));
    }

    /// Returns what an executor must be told when it has restarted.
    #[must_use]
    pub fn of(&self, executor: SocketAddr, now: Instant) -> Option<BackendNotice> {
        let (notice, heard_at) = self.0.get(&executor)?;
        is_current(*heard_at, now).then(|| notice.clone())
    }
}

fn is_current(heard_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(heard_at) < NOTICE_LIFETIME
}
