//! What was measured, as it is printed and written to a file.

use serde::{Deserialize, Serialize};

/// Times until something was known at each node, in seconds; `None` when it was not known in time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Time by which half of the nodes knew.
    pub p50: Option<f64>,
    /// Time by which all knew.
    pub max: Option<f64>,
}

impl Spread {
    /// The spread of times; `missing` nodes never knew.
    #[must_use]
    pub fn of(mut seconds: Vec<f64>, missing: usize) -> Self {
        seconds.sort_by(f64::total_cmp);
        let middle = (seconds.len() + missing) / 2;
        Self {
            p50: seconds.get(middle).copied(),
            max: seconds.last().copied().filter(|_| missing == 0),
        }
    }
}

/// What a node sends for control, over a window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct TrafficFigures {
    /// Bytes a second in datagrams with their headers, mean of all nodes.
    pub udp_bytes: f64,
    /// Datagrams a second, mean of all nodes.
    pub udp_messages: f64,
    /// Bytes a second on byte streams, mean of all nodes.
    pub tcp_bytes: f64,
    /// Writes a second to byte streams, mean of all nodes.
    pub tcp_messages: f64,
    /// Bytes a second, both together, of the node that sent most.
    pub max_bytes: f64,
    /// Processor time, in microseconds a second, mean of all nodes.
    pub cpu_micros: f64,
}

/// One fleet of hollow nodes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetFigures {
    /// Number of nodes.
    pub nodes: usize,
    /// Time from the start of all at once until all know all, in seconds.
    pub cold_start: Option<f64>,
    /// At rest.
    pub rest: TrafficFigures,
    /// While the configuration changes at a steady rate.
    pub changing: TrafficFigures,
    /// Revisions put in force in that window.
    pub changes: usize,
    /// Time from the last of them until it is in force at each node.
    pub last_change: Spread,
    /// Memory of a node at rest, in KiB: that of the process over the number of nodes.
    pub memory_kib: f64,
    /// Memory of a node after the changes, in KiB.
    pub memory_after_changes_kib: f64,
    /// Byte streams that a node has opened by then, mean.
    pub streams_opened: f64,
    /// Links that a node has open right after the changes, mean.
    pub links_after_changes: f64,
    /// Links that a node has open once those that nobody uses have been closed, mean.
    pub links_after_idle: Option<f64>,
    /// Memory of a node then, in KiB; what the allocator keeps for later is counted.
    pub memory_after_idle_kib: Option<f64>,
    /// Time until a revision is in force at each node.
    pub revision: Spread,
    /// Time until a death is known at each node.
    pub death: Spread,
    /// Time until a leave is known at each node.
    pub leave: Spread,
    /// Members that live and are held dead at the end, over all nodes.
    pub wrongly_dead: usize,
}

/// One rate of calls between two nodes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CallFigures {
    /// Calls a second that were answered.
    pub rate: f64,
    /// Calls that were not answered whole.
    pub failed: u64,
    /// Processor time at the entry node for each call, in microseconds, its own rest taken off.
    pub entry_micros: f64,
    /// Processor time at the executing node for each call, in microseconds.
    pub executor_micros: f64,
    /// Bytes from the entry node to the executing node for each call, besides the body.
    pub link_request_bytes: f64,
    /// Bytes back for each call, besides the body.
    pub link_answer_bytes: f64,
}

/// Time of one decision over tables of one size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DecisionFigure {
    /// The decision.
    pub name: String,
    /// What the tables hold.
    pub tables: String,
    /// Processor time of one decision, in nanoseconds.
    pub nanos: f64,
}

/// Everything that one run measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ScaleSummary {
    /// Fleets by size.
    pub fleets: Vec<FleetFigures>,
    /// Calls by rate.
    pub calls: Vec<CallFigures>,
    /// Memory of one call in flight, entry and executing node together, in bytes.
    pub call_memory_bytes: Option<f64>,
    /// Decisions by kind and size.
    pub decisions: Vec<DecisionFigure>,
}
