//! How one fleet of hollow nodes is measured.

use std::time::Duration;

use tallybridge_node::connections::peer::links::IDLE_TIMEOUT;

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
    /// Time after the changes in which links that nobody uses are closed; `None` not to wait for it.
    pub idle: Option<Duration>,
    /// Deaths that are timed.
    pub deaths: usize,
    /// Leaves that are timed.
    pub leaves: usize,
    /// Services that the nodes are spread over.
    pub services: usize,
    /// Zones that the nodes are spread over.
    pub zones: usize,
}

/// Greatest fleet in which the idle time of links is waited for: it does not depend on the size.
const GREATEST_IDLE: usize = 100;
/// Time after the idle time of a link by which it is closed.
const IDLE_MARGIN: Duration = Duration::from_secs(15);

impl FleetOptions {
    /// The usual measure of a fleet of some size.
    #[must_use]
    pub fn of_size(nodes: usize) -> Self {
        Self {
            nodes,
            rest: Duration::from_secs(20),
            revisions: 3,
            steady_revisions: 30,
            steady_interval: Duration::from_secs(1),
            idle: (nodes <= GREATEST_IDLE).then_some(IDLE_TIMEOUT + IDLE_MARGIN),
            deaths: 2,
            leaves: 2,
            services: 54,
            zones: 6,
        }
    }
}
