//! Settings of a node, templates and tenant parameters, and the numbered revisions they come in.

pub mod document;
pub mod revision;
pub mod settings;
pub mod template;
pub mod tenant;

pub use document::{CallPolicy, Document};
pub use revision::{Edit, Revision, RevisionRecord};
pub use settings::Settings;
pub use template::{RetryOn, Template};
pub use tenant::{Tenant, TenantOverride};
