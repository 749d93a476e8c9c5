//! What runs at each tick.

use std::time::Instant;

use crate::{clock::unix_ms, systems::admission, tables::Tables};

/// Runs the systems over the tables, in order.
pub fn run(tables: &mut Tables, now: Instant) {
    admission::run(tables, now);
    tables.endpoints.tick(now);
    tables.early_refusal.tick(now);
    tables.claims.table.expire(unix_ms());
}
