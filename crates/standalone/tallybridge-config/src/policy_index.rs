//! Which templates can cover a call of a service, so that a call looks at these alone.

use std::collections::HashMap;

use tallybridge_core::{ServiceName, TemplateName, TenantName};

use crate::{CallPolicy, Document, Revision};

/// Names of the templates of each service, at one revision of a document.
#[derive(Debug, Clone, Default)]
pub struct PolicyIndex {
    revision: Revision,
    by_service: HashMap<ServiceName, Vec<TemplateName>>,
}

impl PolicyIndex {
    /// The index of a document.
    #[must_use]
    pub fn of(document: &Document) -> Self {
        let mut by_service: HashMap<ServiceName, Vec<TemplateName>> = HashMap::new();
        for template in document.templates.values() {
            let names = by_service.entry(template.service.clone()).or_default();
            names.push(template.name.clone());
        }
        Self {
            revision: document.revision,
            by_service,
        }
    }

    /// The policy of one call, as [`Document::policy`] gives it. An index of another revision is
    /// not used.
    #[must_use]
    pub fn policy(
        &self,
        document: &Document,
        tenant: &TenantName,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<CallPolicy> {
        if self.revision != document.revision {
            return document.policy(tenant, service, method, path);
        }
        let names = self.by_service.get(service)?.iter();
        let templates = names.filter_map(|name| document.templates.get(name));
        document.policy_among(templates, tenant, service, method, path)
    }
}
