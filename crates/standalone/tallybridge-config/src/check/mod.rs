//! Checks of settings and configurations, each with a name of its own.
//!
//! They run over the checked types and not over text, so a node checks a record from the store by
//! the same code as a command checks a file.

mod configuration;
pub(crate) mod limits;
mod place;
mod rule;
mod settings;
mod template;
mod tenant;
mod value;
mod violation;

pub use place::{Entry, Place};
pub use rule::Rule;
pub(crate) use settings::check_settings;
pub use violation::Violation;
