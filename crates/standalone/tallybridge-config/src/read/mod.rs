//! Reads TOML files into the checked types and collects every mistake on the way.
//!
//! serde stops at the first mistake. This reader goes over the parsed document itself, puts a
//! placeholder where a value is wrong, and lets the checks run over the whole, so that one report
//! names everything. A check that would compare a placeholder is left out.

mod configuration;
mod finding;
mod reader;
mod settings;
mod source;
mod table;
mod value;

pub use configuration::read_configuration;
pub use settings::read_settings;
pub use source::as_text;
