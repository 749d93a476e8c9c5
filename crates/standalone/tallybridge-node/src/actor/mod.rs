//! The actor that owns the tables; connection tasks send it short messages.

pub mod calls;
pub mod claims;
pub mod configuration;
pub mod executions;
pub mod fleet;
pub mod status;

use std::time::Duration;

use tokio::time::Instant;
use xtra::prelude::*;

use crate::{systems, tables::Tables};

/// Time between two runs of the systems.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Messages that may wait for the actor; senders beyond it wait in turn.
pub const MAILBOX_CAPACITY: usize = 4_096;

/// Owner of a node's tables.
#[derive(xtra::Actor)]
pub struct NodeActor {
    /// The tables.
    pub tables: Tables,
}

/// Runs the systems.
pub struct Tick;

impl Handler<Tick> for NodeActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self>) {
        systems::tick::run(&mut self.tables, now());
        systems::record::evicted(&mut self.tables);
    }
}

/// The time by tokio's clock, which tests may pause.
pub(crate) fn now() -> std::time::Instant {
    Instant::now().into_std()
}
