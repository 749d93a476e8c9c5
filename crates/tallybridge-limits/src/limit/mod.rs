//! How many calls a back end may run at once, found from the latency that is observed.

mod baseline;
mod concurrency;
mod control;
mod ramp;
mod sample;
mod settings;
mod window;

pub use concurrency::ConcurrencyLimit;
pub use ramp::Ramp;
pub use sample::{Sample, SampleResult};
pub use settings::LimitSettings;
