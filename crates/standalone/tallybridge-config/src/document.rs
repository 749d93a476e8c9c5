//! The whole configuration at one revision, and how it treats one call.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tallybridge_core::{Criticality, ServiceName, TemplateName, TenantName};

use crate::{
    revision::{Edit, Revision, RevisionRecord},
    template::{RetryOn, Template},
    tenant::Tenant,
};

/// Templates and tenants at one revision.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Document {
    /// The revision that the last applied record made.
    pub revision: Revision,
    /// Templates by name.
    pub templates: BTreeMap<TemplateName, Template>,
    /// Tenants by name.
    pub tenants: BTreeMap<TenantName, Tenant>,
}

/// How one call of one tenant is treated: the template with the tenant's parameters filled in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallPolicy {
    /// The template.
    pub template: TemplateName,
    /// Class of the call.
    pub criticality: Criticality,
    /// Whether running the call twice does no harm.
    pub idempotent: bool,
    /// When the fleet may run an attempt again.
    pub retry_on: RetryOn,
    /// Retries of the whole chain when this call is its root.
    pub retry_allowance: u8,
    /// Longest time the call may take, in milliseconds.
    pub deadline_ms: u32,
    /// Largest request body, in bytes.
    pub max_request_bytes: u32,
    /// Largest answer body, in bytes.
    pub max_answer_bytes: u32,
    /// Most calls of this kind that one back end runs at once.
    pub concurrency_limit: Option<u16>,
    /// Slots of a back end kept for this kind.
    pub reserve: u16,
}

/// A record does not follow the revision it is applied to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("record of revision {given} does not follow revision {current}")]
pub struct OutOfOrder {
    /// The document's revision.
    pub current: Revision,
    /// The record's revision.
    pub given: Revision,
}

impl Document {
    /// Applies the record that follows this document's revision.
    ///
    /// # Errors
    ///
    /// [`OutOfOrder`] when the record is not the next one; the document is unchanged.
    pub fn apply(&mut self, record: &RevisionRecord) -> Result<(), OutOfOrder> {
        if record.revision != self.revision.next() {
            return Err(OutOfOrder {
                current: self.revision,
                given: record.revision,
            });
        }
        for edit in &record.edits {
            self.apply_edit(edit);
        }
        self.revision = record.revision;
        Ok(())
    }

    pub(crate) fn apply_edit(&mut self, edit: &Edit) {
        match edit {
            Edit::PutTemplate(template) => {
                self.templates
                    .insert(template.name.clone(), template.clone());
            }
            Edit::RemoveTemplate(name) => {
                self.templates.remove(name);
            }
            Edit::PutTenant(tenant) => {
                self.tenants.insert(tenant.name.clone(), tenant.clone());
            }
            Edit::RemoveTenant(name) => {
                self.tenants.remove(name);
            }
        }
    }

    /// The policy of one call, or `None` when the tenant is unknown or no template covers it.
    #[must_use]
    pub fn policy(
        &self,
        tenant: &TenantName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<CallPolicy> {
        self.policy_among(self.templates.values(), tenant, service, method, path)
    }

    /// The policy of one call where no template but these can cover it.
    pub(crate) fn policy_among<'a>(
        &'a self,
        templates: impl Iterator<Item = &'a Template>,
        tenant: &TenantName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<CallPolicy> {
        let tenant = self.tenants.get(tenant)?;
        let template = templates
            .filter(|template| template.covers(service, method, path))
            .max_by_key(|template| template.path_prefix.len())?;
        Some(CallPolicy::new(template, tenant))
    }
}

impl Template {
    /// Whether this template covers a call.
    #[must_use]
    pub fn covers(&self, service: &ServiceName, method: &str, path: &str) -> bool {
        self.service == *service
            && path.starts_with(&self.path_prefix)
            && (self.methods.is_empty() || self.methods.iter().any(|covered| covered == method))
    }
}

impl CallPolicy {
    fn new(template: &Template, tenant: &Tenant) -> Self {
        let parameters = tenant
            .overrides
            .iter()
            .find(|parameters| parameters.template == template.name);
        Self {
            template: template.name.clone(),
            criticality: parameters
                .and_then(|parameters| parameters.criticality)
                .unwrap_or(template.criticality),
            idempotent: template.idempotent,
            retry_on: template.retry_on,
            retry_allowance: parameters
                .and_then(|parameters| parameters.retry_allowance)
                .unwrap_or(template.retry_allowance),
            deadline_ms: parameters
                .and_then(|parameters| parameters.deadline_ms)
                .unwrap_or(template.deadline_ms),
            max_request_bytes: template.max_request_bytes,
            max_answer_bytes: template.max_answer_bytes,
            concurrency_limit: template.concurrency_limit,
            reserve: template.reserve,
        }
    }
}
