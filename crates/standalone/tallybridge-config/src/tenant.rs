//! Parameters that a tenant fills into templates.

use serde::{Deserialize, Serialize};
use tallybridge_core::{Criticality, TemplateName, TenantName};

/// One tenant and what it changes in the templates it uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Unique name, as in the `Tallybridge-Tenant` header.
    pub name: TenantName,
    /// Parameters for single templates; a template not named here applies as it is.
    #[serde(default, rename = "override", skip_serializing_if = "Vec::is_empty")]
    pub overrides: Vec<TenantOverride>,
}

/// What one tenant changes in one template. An absent field keeps the template's value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantOverride {
    /// The template.
    pub template: TemplateName,
    /// Longest time a call may take, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u32>,
    /// Class of the call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub criticality: Option<Criticality>,
    /// Retries that one request may cause over its whole chain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_allowance: Option<u8>,
}
