//! A configuration as the checks see it.

use std::collections::{BTreeMap, BTreeSet};

use tallybridge_core::TemplateName;

use super::{
    Entry, Violation, template::check_templates, tenant::check_tenants, value::TableCheck,
};
use crate::{
    document::Document,
    file::ConfigurationFile,
    template::Template,
    tenant::{Tenant, TenantOverride},
};

/// Templates and tenants in the order of their file or document.
pub struct Configuration<'a> {
    /// The templates.
    pub templates: Vec<&'a Template>,
    /// The tenants.
    pub tenants: Vec<&'a Tenant>,
    by_name: BTreeMap<&'a TemplateName, usize>,
}

impl<'a> Configuration<'a> {
    /// Gathers templates and tenants.
    pub fn new(templates: Vec<&'a Template>, tenants: Vec<&'a Tenant>) -> Self {
        let mut by_name = BTreeMap::new();
        for (index, template) in templates.iter().enumerate() {
            by_name.entry(&template.name).or_insert(index);
        }
        Self {
            templates,
            tenants,
            by_name,
        }
    }

    /// Every broken rule, in the order of the entries.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        check_templates(self, &mut violations);
        check_tenants(self, &mut violations);
        leave_out_consequences(&mut violations);
        violations
    }

    /// The first template of that name.
    pub fn template_index(&self, name: &TemplateName) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// The parent of a template, where it exists.
    pub fn parent_index(&self, index: usize) -> Option<usize> {
        let parent = self.templates[index].parent.as_ref()?;
        self.template_index(parent)
    }

    /// The templates from one up to itself by `parent`, when there is such a way.
    pub fn cycle_through(&self, start: usize) -> Option<Vec<usize>> {
        let mut cycle = vec![start];
        let mut current = start;
        while cycle.len() <= self.templates.len() {
            current = self.parent_index(current)?;
            if current == start {
                return Some(cycle);
            }
            cycle.push(current);
        }
        None
    }

    /// A check of the fields of a template.
    pub fn template_check<'v>(
        &self,
        index: usize,
        violations: &'v mut Vec<Violation>,
    ) -> TableCheck<'v> {
        TableCheck {
            prefix: format!("{}.", template_label(&self.templates[index].name)),
            entry: Entry::Template(index),
            violations,
        }
    }
}

/// Drops the violations that compare a field which is wrong by itself.
fn leave_out_consequences(violations: &mut Vec<Violation>) {
    let by_themselves = violations
        .iter()
        .filter(|violation| violation.compared.is_empty());
    let wrong: BTreeSet<_> = by_themselves.map(|violation| violation.place).collect();
    violations.retain(|violation| {
        let mut compared = violation.compared.iter();
        !compared.any(|place| wrong.contains(place))
    });
}

/// How reports call a template.
pub fn template_label(name: &TemplateName) -> String {
    format!("template[{name}]")
}

/// How reports call a tenant.
pub fn tenant_label(tenant: &Tenant) -> String {
    format!("tenant[{}]", tenant.name)
}

/// How reports call an override.
pub fn override_label(tenant: &Tenant, parameters: &TenantOverride) -> String {
    format!("{}.override[{}]", tenant_label(tenant), parameters.template)
}

impl Document {
    /// Every rule that the document breaks; empty when it may be in force.
    #[must_use]
    pub fn check(&self) -> Vec<Violation> {
        let templates = self.templates.values().collect();
        let tenants = self.tenants.values().collect();
        Configuration::new(templates, tenants).check()
    }
}

impl ConfigurationFile {
    /// Every rule that the file breaks; empty for a file that was parsed.
    #[must_use]
    pub fn check(&self) -> Vec<Violation> {
        let templates = self.templates.iter().collect();
        let tenants = self.tenants.iter().collect();
        Configuration::new(templates, tenants).check()
    }
}
