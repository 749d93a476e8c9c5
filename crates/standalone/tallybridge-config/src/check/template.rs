//! Checks of templates.

use std::collections::BTreeMap;

use super::{
    Entry, Place, Rule, Violation,
    configuration::{Configuration, template_label},
    limits,
    value::{TableCheck, quote},
};
use crate::template::{RetryOn, Template};

/// Checks every template by itself and against the others.
pub fn check_templates(configuration: &Configuration<'_>, violations: &mut Vec<Violation>) {
    for index in 0..configuration.templates.len() {
        check_values(configuration, index, violations);
        check_retry(configuration, index, violations);
        check_reserve(configuration, index, violations);
        check_name_is_unique(configuration, index, violations);
        check_parent(configuration, index, violations);
    }
    check_coverage(configuration, violations);
}

fn check_values(configuration: &Configuration<'_>, index: usize, violations: &mut Vec<Violation>) {
    let template = configuration.templates[index];
    let mut check = configuration.template_check(index, violations);
    check.name("name", template.name.as_str());
    check.name("service", template.service.as_str());
    check.methods(&template.methods);
    check.path_prefix(&template.path_prefix);
    check.number("deadline_ms", &template.deadline_ms, &limits::DEADLINE_MS);
    check_sizes(&mut check, template);
    if let Some(parent) = &template.parent {
        check.name("parent", parent.as_str());
    }
}

fn check_sizes(check: &mut TableCheck<'_>, template: &Template) {
    check.number(
        "max_request_bytes",
        &template.max_request_bytes,
        &limits::BODY_BYTES,
    );
    check.number(
        "max_answer_bytes",
        &template.max_answer_bytes,
        &limits::BODY_BYTES,
    );
    if let Some(limit) = &template.concurrency_limit {
        check.number("concurrency_limit", limit, &limits::CONCURRENCY);
    }
}

fn check_retry(configuration: &Configuration<'_>, index: usize, violations: &mut Vec<Violation>) {
    let template = configuration.templates[index];
    if template.idempotent || template.retry_on != RetryOn::Unknown {
        return;
    }
    let mut check = configuration.template_check(index, violations);
    check.refuse_compared(
        Rule::UnsafeRetry,
        "retry_on",
        quote("unknown"),
        "\"never\" or \"not-run\" while `idempotent` is false".to_owned(),
        "set `retry_on = \"not-run\"`, or `idempotent = true` if running twice does no harm"
            .to_owned(),
        vec![Place::field(Entry::Template(index), "idempotent")],
    );
}

fn check_reserve(configuration: &Configuration<'_>, index: usize, violations: &mut Vec<Violation>) {
    let template = configuration.templates[index];
    let Some(limit) = template.concurrency_limit else {
        return;
    };
    if template.reserve <= limit {
        return;
    }
    let mut check = configuration.template_check(index, violations);
    check.refuse_compared(
        Rule::ReserveAboveLimit,
        "reserve",
        template.reserve.to_string(),
        format!("0 to {limit}, the template's `concurrency_limit`"),
        format!("lower `reserve` to {limit} or raise `concurrency_limit`"),
        vec![Place::field(Entry::Template(index), "concurrency_limit")],
    );
}

fn check_name_is_unique(
    configuration: &Configuration<'_>,
    index: usize,
    violations: &mut Vec<Violation>,
) {
    let name = &configuration.templates[index].name;
    let Some(first) = configuration.template_index(name) else {
        return;
    };
    if first == index {
        return;
    }
    let mut check = configuration.template_check(index, violations);
    check.refuse_compared(
        Rule::DuplicateName,
        "name",
        quote(name.as_str()),
        "a name that no template above has".to_owned(),
        "rename one of the two or remove it".to_owned(),
        vec![Place::field(Entry::Template(first), "name")],
    );
}

fn check_parent(configuration: &Configuration<'_>, index: usize, violations: &mut Vec<Violation>) {
    let Some(parent) = &configuration.templates[index].parent else {
        return;
    };
    let Some(parent_index) = configuration.template_index(parent) else {
        let known = configuration.templates.iter().map(|known| &known.name);
        let known: Vec<_> = known.map(ToString::to_string).collect();
        let mut check = configuration.template_check(index, violations);
        check.refuse(
            Rule::UnknownParent,
            "parent",
            quote(parent.as_str()),
            format!("a template of the configuration: {}", known.join(", ")),
            "add the parent template or correct its name".to_owned(),
        );
        return;
    };
    if let Some(cycle) = configuration.cycle_through(index) {
        check_cycle(configuration, &cycle, violations);
    } else {
        check_deadline(configuration, index, parent_index, violations);
    }
}

/// Reports a cycle at its first template only.
fn check_cycle(
    configuration: &Configuration<'_>,
    cycle: &[usize],
    violations: &mut Vec<Violation>,
) {
    let first = cycle[0];
    if cycle.iter().any(|member| *member < first) {
        return;
    }
    let names = cycle.iter().chain(cycle.first());
    let names: Vec<_> = names
        .map(|member| configuration.templates[*member].name.as_str())
        .collect();
    let members = cycle.iter().skip(1);
    let compared = members.map(|member| Place::field(Entry::Template(*member), "parent"));
    let compared = compared.collect();
    let mut check = configuration.template_check(first, violations);
    check.refuse_compared(
        Rule::ParentCycle,
        "parent",
        names.join(" -> "),
        "a template that is not nested in this one".to_owned(),
        "remove `parent` from the template whose calls come from outside".to_owned(),
        compared,
    );
}

fn check_deadline(
    configuration: &Configuration<'_>,
    index: usize,
    parent_index: usize,
    violations: &mut Vec<Violation>,
) {
    let template = configuration.templates[index];
    let parent = configuration.templates[parent_index];
    if template.deadline_ms <= parent.deadline_ms {
        return;
    }
    let mut check = configuration.template_check(index, violations);
    check.refuse_compared(
        Rule::DeadlineAboveParent,
        "deadline_ms",
        template.deadline_ms.to_string(),
        format!(
            "1 to {}, the deadline of the parent `{}`",
            parent.deadline_ms, parent.name
        ),
        format!(
            "lower it to {} or raise `{}.deadline_ms`",
            parent.deadline_ms,
            template_label(&parent.name)
        ),
        vec![
            Place::field(Entry::Template(index), "parent"),
            Place::field(Entry::Template(parent_index), "deadline_ms"),
        ],
    );
}

/// Two templates with the same service and prefix and a method in common would make the choice
/// between them depend on their names.
fn check_coverage(configuration: &Configuration<'_>, violations: &mut Vec<Violation>) {
    let mut by_path: BTreeMap<_, Vec<usize>> = BTreeMap::new();
    for (index, template) in configuration.templates.iter().enumerate() {
        let path = (&template.service, &template.path_prefix);
        let earlier = by_path.entry(path).or_default();
        let other = earlier
            .iter()
            .find(|other| shares_method(configuration.templates[**other], template));
        if let Some(other) = other {
            refuse_coverage(configuration, index, *other, violations);
        }
        earlier.push(index);
    }
}

fn shares_method(one: &Template, other: &Template) -> bool {
    let all = one.methods.is_empty() || other.methods.is_empty();
    all || one
        .methods
        .iter()
        .any(|method| other.methods.contains(method))
}

fn refuse_coverage(
    configuration: &Configuration<'_>,
    index: usize,
    other: usize,
    violations: &mut Vec<Violation>,
) {
    let template = configuration.templates[index];
    let methods = if template.methods.is_empty() {
        "all methods".to_owned()
    } else {
        template.methods.join(", ")
    };
    let entries = [Entry::Template(index), Entry::Template(other)];
    let fields = ["service", "methods", "path_prefix"];
    let compared = entries
        .into_iter()
        .flat_map(|entry| fields.map(|field| Place::field(entry, field)));
    let compared = compared.collect();
    let mut check = configuration.template_check(index, violations);
    check.refuse_compared(
        Rule::DuplicateCoverage,
        "path_prefix",
        format!(
            "{} of {} for {methods}",
            quote(&template.path_prefix),
            template.service
        ),
        format!(
            "service, path prefix and methods that template `{}` does not cover already",
            configuration.templates[other].name
        ),
        "give one of the two another prefix, or `methods` that the other does not have".to_owned(),
        compared,
    );
}
