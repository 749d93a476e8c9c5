//! How many calls a back end may run at once, found from the latency that is observed.

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
