//! What the fleet costs and how fast it is against the number of nodes: hollow nodes, which run
//! the real tables, systems and peer links on loopback, many in one process and without callers.

mod calls;
mod counting;
mod decisions;
mod fit;
mod fleet;
mod fleet_run;
mod options;
mod process;
mod report;
mod summary;
mod usage;

pub use counting::{CountingNetwork, Sent, Traffic};
pub use fit::{Fit, Point, fit_line, fit_log_linear};
pub use fleet::Fleet;
pub use options::FleetOptions;
pub use process::{ScaleError, ScaleOptions, measure_all, measure_one};
pub use report::print_table;
pub use summary::{CallFigures, DecisionFigure, FleetFigures, ScaleSummary, Spread};
