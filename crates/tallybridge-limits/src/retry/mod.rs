//! How often a call may be tried again: by one request, and by a fleet.

mod allowance;
mod backoff;
mod budget;

pub use allowance::Allowance;
pub use backoff::Backoff;
pub use budget::{Budget, BudgetSettings};
