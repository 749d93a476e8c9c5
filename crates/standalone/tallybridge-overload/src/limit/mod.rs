//! An adaptive limit on the concurrent calls of a back end, derived from observed latency.

mod concurrency;
mod control;
mod kinds;
mod probe;
mod ramp;
mod sample;
mod settings;
mod window;

pub use concurrency::ConcurrencyLimit;
pub use ramp::Ramp;
pub use sample::{Sample, SampleResult};
pub use settings::LimitSettings;
