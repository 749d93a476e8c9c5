//! How one fleet of hollow nodes is measured.

use std::time::Duration;

/// How one fleet of hollow nodes is measured.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Time over which a fleet at rest is watched.
    pub rest: Duration,
    /// Revisions that are timed one after the other.
    pub revisions: usize,
    /// Revisions put in force at a steady rate, while traffic is counted.
    pub steady_revisions: usize,
    /// Time between two of them.
    pub steady_interval: Duration,
    /// Deaths that are timed.
    pub deaths: usize,
    /// Leaves that are timed.
    pub leaves: usize,
    /// Services that the nodes are spread over.
    pub services: usize,
    /// Zones that the nodes are spread over.
    pub zones: usize,
}

impl FleetOptions {
    /// The usual measure of a fleet of some size.
    #[must_use]
    pub const fn of_size(nodes: usize) -> Self {
        Self {
            nodes,
            rest: Duration::from_secs(20),
            revisions: 3,
            steady_revisions: 30,
            steady_interval: Duration::from_secs(1),
            deaths: 2,
            leaves: 2,
            services: 54,
            zones: 6,
        }
    }
}
