//! Checks of tenants.

use std::collections::BTreeMap;

use super::{
    Entry, Place, Rule, Violation,
    configuration::{Configuration, override_label, tenant_label},
    limits,
    value::{TableCheck, quote},
};
use crate::tenant::Tenant;

/// Checks every tenant by itself, against the others and against the templates.
pub fn check_tenants(configuration: &Configuration<'_>, violations: &mut Vec<Violation>) {
    let mut first_of_name = BTreeMap::new();
    for (index, tenant) in configuration.tenants.iter().enumerate() {
        let first = *first_of_name.entry(&tenant.name).or_insert(index);
        check_name(tenant, index, first, violations);
        check_overrides(configuration, index, violations);
        check_deadlines(configuration, index, violations);
    }
}

fn check_name(tenant: &Tenant, index: usize, first: usize, violations: &mut Vec<Violation>) {
    let mut check = TableCheck {
        prefix: format!("{}.", tenant_label(tenant)),
        entry: Entry::Tenant(index),
        violations,
    };
    check.name("name", tenant.name.as_str());
    if first == index {
        return;
    }
    check.refuse_compared(
        Rule::DuplicateName,
        "name",
        quote(tenant.name.as_str()),
        "a name that no tenant above has".to_owned(),
        "rename one of the two or join their overrides".to_owned(),
        vec![Place::field(Entry::Tenant(first), "name")],
    );
}

/// A check of the fields of an override.
fn override_check<'v>(
    tenant: &Tenant,
    tenant_index: usize,
    index: usize,
    violations: &'v mut Vec<Violation>,
) -> TableCheck<'v> {
    TableCheck {
        prefix: format!("{}.", override_label(tenant, &tenant.overrides[index])),
        entry: Entry::Override {
            tenant: tenant_index,
            index,
        },
        violations,
    }
}

fn check_overrides(
    configuration: &Configuration<'_>,
    tenant_index: usize,
    violations: &mut Vec<Violation>,
) {
    let tenant = configuration.tenants[tenant_index];
    for (index, parameters) in tenant.overrides.iter().enumerate() {
        let mut check = override_check(tenant, tenant_index, index, violations);
        if let Some(deadline_ms) = &parameters.deadline_ms {
            check.number("deadline_ms", deadline_ms, &limits::DEADLINE_MS);
        }
        check_reference(configuration, tenant, index, &mut check);
        check_is_only_override(tenant, tenant_index, index, &mut check);
    }
}

fn check_reference(
    configuration: &Configuration<'_>,
    tenant: &Tenant,
    index: usize,
    check: &mut TableCheck<'_>,
) {
    let template = &tenant.overrides[index].template;
    if configuration.template_index(template).is_some() {
        return;
    }
    let known = configuration.templates.iter().map(|known| &known.name);
    let known: Vec<_> = known.map(ToString::to_string).collect();
    check.refuse(
        Rule::UnknownTemplate,
        "template",
        quote(template.as_str()),
        format!("a template of the configuration: {}", known.join(", ")),
        "correct the name, or remove the override together with the template".to_owned(),
    );
}

fn check_is_only_override(
    tenant: &Tenant,
    tenant_index: usize,
    index: usize,
    check: &mut TableCheck<'_>,
) {
    let template = &tenant.overrides[index].template;
    let mut earlier = tenant.overrides[..index].iter();
    let Some(first) = earlier.position(|parameters| parameters.template == *template) else {
        return;
    };
    let first = Entry::Override {
        tenant: tenant_index,
        index: first,
    };
    check.refuse_compared(
        Rule::DuplicateOverride,
        "template",
        quote(template.as_str()),
        "one override of a template for each tenant".to_owned(),
        "join the two overrides into one".to_owned(),
        vec![Place::field(first, "template")],
    );
}

/// Compares the deadlines of nested calls with their parents' as this tenant has them.
fn check_deadlines(
    configuration: &Configuration<'_>,
    tenant_index: usize,
    violations: &mut Vec<Violation>,
) {
    let tenant = configuration.tenants[tenant_index];
    let overriding = deadline_overrides(configuration, tenant);
    if overriding.is_empty() {
        return;
    }
    for child in 0..configuration.templates.len() {
        let Some(parent) = configuration.parent_index(child) else {
            continue;
        };
        if configuration.cycle_through(child).is_some() {
            continue;
        }
        let child = Deadline::new(configuration, tenant, &overriding, child);
        let parent = Deadline::new(configuration, tenant, &overriding, parent);
        let Some(blamed) = child.overridden_at.or(parent.overridden_at) else {
            continue;
        };
        if child.deadline_ms <= parent.deadline_ms {
            continue;
        }
        let mut check = override_check(tenant, tenant_index, blamed, violations);
        refuse_deadline(&mut check, tenant_index, &child, &parent);
    }
}

/// The overrides of a tenant that change a deadline, by template.
fn deadline_overrides(
    configuration: &Configuration<'_>,
    tenant: &Tenant,
) -> BTreeMap<usize, usize> {
    let mut overriding = BTreeMap::new();
    for (index, parameters) in tenant.overrides.iter().enumerate() {
        let template = configuration.template_index(&parameters.template);
        if let (Some(template), Some(_)) = (template, parameters.deadline_ms) {
            overriding.entry(template).or_insert(index);
        }
    }
    overriding
}

/// A template's deadline as one tenant has it.
struct Deadline<'a> {
    template: usize,
    name: &'a str,
    deadline_ms: u32,
    overridden_at: Option<usize>,
}

impl<'a> Deadline<'a> {
    fn new(
        configuration: &Configuration<'a>,
        tenant: &Tenant,
        overriding: &BTreeMap<usize, usize>,
        template: usize,
    ) -> Self {
        let own = configuration.templates[template];
        let overridden_at = overriding.get(&template).copied();
        let deadline_ms = overridden_at.and_then(|index| tenant.overrides[index].deadline_ms);
        Self {
            template,
            name: own.name.as_str(),
            deadline_ms: deadline_ms.unwrap_or(own.deadline_ms),
            overridden_at,
        }
    }

    /// Where the deadline is set.
    fn place(&self, tenant: usize) -> Place {
        let entry = match self.overridden_at {
            Some(index) => Entry::Override { tenant, index },
            None => Entry::Template(self.template),
        };
        Place::field(entry, "deadline_ms")
    }
}

fn refuse_deadline(
    check: &mut TableCheck<'_>,
    tenant: usize,
    child: &Deadline<'_>,
    parent: &Deadline<'_>,
) {
    let compared = vec![child.place(tenant), parent.place(tenant)];
    let (given, allowed) = if child.overridden_at.is_some() {
        let allowed = format!(
            "1 to {}, the deadline of the parent `{}` for this tenant",
            parent.deadline_ms, parent.name
        );
        (child.deadline_ms, allowed)
    } else {
        let allowed = format!(
            "at least {}, the deadline of the nested `{}` for this tenant",
            child.deadline_ms, child.name
        );
        (parent.deadline_ms, allowed)
    };
    let mend = format!(
        "bring the deadline of `{}` to at most that of `{}`",
        child.name, parent.name
    );
    check.refuse_compared(
        Rule::OverrideDeadlineAboveParent,
        "deadline_ms",
        given.to_string(),
        allowed,
        mend,
        compared,
    );
}
