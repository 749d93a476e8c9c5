//! Open-loop load: seeded arrivals, callers that retry, and what they record.

mod arrival;
mod caller;
mod driver;
mod probe;
mod record;

pub use arrival::{Arrival, arrivals};
pub use driver::{Driver, LoadRecord};
pub use probe::{FIRST_PROBE, ProbeRecord, ProbeRoute};
pub use record::{RequestRecord, SendEnd, SendRecord};
