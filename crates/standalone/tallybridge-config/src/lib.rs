//! Settings of a node, templates and tenant parameters, and the numbered revisions they come in.

pub mod check;
pub mod difference;
pub mod document;
pub mod file;
pub mod kind;
pub mod mistake;
pub mod overrides;
pub mod policy_index;
mod read;
pub mod revision;
pub mod settings;
pub mod template;
pub mod tenant;

pub use check::{Entry, Place, Rule, Violation};
pub use difference::{EntryName, conflicts, difference};
pub use document::{CallPolicy, Document};
pub use file::ConfigurationFile;
pub use kind::FileKind;
pub use mistake::{Mistake, Mistakes, Origin};
pub use overrides::SettingsOverrides;
pub use policy_index::PolicyIndex;
pub use revision::{Edit, Revision, RevisionRecord};
pub use settings::Settings;
pub use template::{RetryOn, Template};
pub use tenant::{Tenant, TenantOverride};
