//! A stand-in for a service's back end: slots, a queue, connections, drain, cold start, shedding,
//! deadlines, cancellation, nested calls, and health that lags and lies.

mod call;
mod content;
mod control;
mod execution;
mod execution_log;
mod handler;
mod listener;
mod nested;
mod server;
mod settings;
mod state;

pub use call::CallPlace;
pub use content::{answer_body, digest};
pub use control::Control;
pub use execution::{Execution, ExecutionEnd, ExecutionEvent};
pub use execution_log::{ExecutionLog, read_executions};
pub use server::{BackendArgs, BackendError, run};
pub use settings::{BackendSettings, EndpointSettings, NestedCallSettings};
