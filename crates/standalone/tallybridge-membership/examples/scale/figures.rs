//! The figures of one size, and how they grow.

use std::fmt;

/// Times over all observers of all events of a kind, in seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spread {
    pub median: f64,
    pub max: f64,
}

impl Spread {
    /// Median and maximum.
    pub fn of(mut times: Vec<f64>) -> Self {
        times.sort_by(f64::total_cmp);
        Self {
            median: times.get(times.len() / 2).copied().unwrap_or(f64::NAN),
            max: times.last().copied().unwrap_or(f64::NAN),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:>6.1} {:>6.1}", self.median, self.max)
    }
}

/// Everything measured at one size.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    pub nodes: usize,
    /// From the start of all nodes at once until all know all, in seconds.
    pub cold_start: f64,
    /// Bytes a second sent by a node at rest: mean and the greatest of all nodes.
    pub bytes: f64,
    pub max_bytes: f64,
    /// The same while the events happen one after the other.
    pub event_bytes: f64,
    pub max_event_bytes: f64,
    /// Datagrams a second sent by a node at rest.
    pub datagrams: f64,
    /// Processor time of a node at rest, in microseconds a second, coding included.
    pub busy_micros: f64,
    /// Memory of a node, in KiB.
    pub memory_kib: f64,
    /// Seconds until a death is known.
    pub death: Spread,
    /// Seconds until a leave is known.
    pub leave: Spread,
    /// Seconds until a revision is taken over.
    pub revision: Spread,
    /// Seconds until all of a tenth of the nodes that leave at once are known to be leaving.
    pub leave_together: Spread,
    /// Seconds until the last member of a zone that is lost whole is suspected.
    pub zone_suspected: Spread,
    /// Seconds until the death of the last member of a zone that is lost whole is known.
    pub zone_loss: Spread,
    /// Bytes a second of the node that sends most meanwhile.
    pub max_zone_loss_bytes: f64,
    /// Members held dead that live, over all nodes, at the end.
    pub wrongly_dead: usize,
    /// Deaths told of members that lived, over all nodes and the whole run after the cold start.
    pub false_deaths: usize,
}

impl Figures {
    /// Names of the columns.
    pub fn heading() -> String {
        format!(
            "{:>5} {:>7} | {:>7} {:>7} | {:>7} {:>7} | {:>6} {:>7} {:>7} | {:>13} | {:>13} | \
             {:>13} | {:>13} | {:>13} | {:>13} {:>7} | {:>5} {:>5}",
            "nodes",
            "cold s",
            "B/s",
            "max B/s",
            "ev B/s",
            "max B/s",
            "dgr/s",
            "cpu us",
            "mem KiB",
            "death p50 max",
            "leave p50 max",
            "rev. p50 max",
            "10 % p50 max",
            "zone suspected",
            "zone dead",
            "max B/s",
            "wrong",
            "false",
        )
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:>5} {:>7.1} | {:>7.0} {:>7.0} | {:>7.0} {:>7.0} | {:>6.1} {:>7.0} {:>7.0} | {} | \
             {} | {} | {} | {} | {} {:>7.0} | {:>5} {:>5}",
            self.nodes,
            self.cold_start,
            self.bytes,
            self.max_bytes,
            self.event_bytes,
            self.max_event_bytes,
            self.datagrams,
            self.busy_micros,
            self.memory_kib,
            self.death,
            self.leave,
            self.revision,
            self.leave_together,
            self.zone_suspected,
            self.zone_loss,
            self.max_zone_loss_bytes,
            self.wrongly_dead,
            self.false_deaths,
        )
    }
}

/// Prints how each figure grows with the number of nodes: slope of the least squares line.
pub fn print_slopes(rows: &[Figures]) {
    type Figure = fn(&Figures) -> f64;
    const FIGURES: [(&str, Figure); 8] = [
        ("B/s at rest", |row| row.bytes),
        ("B/s with events", |row| row.event_bytes),
        ("datagrams/s", |row| row.datagrams),
        ("cpu us/s", |row| row.busy_micros),
        ("memory KiB", |row| row.memory_kib),
        ("death max s", |row| row.death.max),
        ("leave max s", |row| row.leave.max),
        ("revision max s", |row| row.revision.max),
    ];
    if rows.len() < 2 {
        return;
    }
    println!("slopes per 100 nodes:");
    for (name, figure) in FIGURES {
        println!("  {name:<16} {:>9.3}", 100.0 * slope(rows, figure));
    }
}

fn slope(rows: &[Figures], figure: fn(&Figures) -> f64) -> f64 {
    let count = rows.len() as f64;
    let mean_nodes = rows.iter().map(|row| row.nodes as f64).sum::<f64>() / count;
    let mean_figure = rows.iter().map(figure).sum::<f64>() / count;
    let covariance: f64 = rows
        .iter()
        .map(|row| (row.nodes as f64 - mean_nodes) * (figure(row) - mean_figure))
        .sum();
    let variance: f64 = rows
        .iter()
        .map(|row| (row.nodes as f64 - mean_nodes).powi(2))
        .sum();
    covariance / variance
}
