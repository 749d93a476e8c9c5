//! What lies between two configurations.

use std::{collections::BTreeMap, fmt};

use similar::TextDiff;
use tallybridge_core::{TemplateName, TenantName};

use crate::{document::Document, file::ConfigurationFile, revision::Edit};

/// Unchanged lines shown around a change.
const CONTEXT_LINES: usize = 3;

/// The entry that an edit changes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum EntryName {
    /// A template.
    Template(TemplateName),
    /// A tenant.
    Tenant(TenantName),
}

impl fmt::Display for EntryName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Template(name) => write!(formatter, "template {name}"),
            Self::Tenant(name) => write!(formatter, "tenant {name}"),
        }
    }
}

impl Edit {
    /// The entry that the edit changes.
    #[must_use]
    pub fn entry(&self) -> EntryName {
        match self {
            Self::PutTemplate(template) => EntryName::Template(template.name.clone()),
            Self::RemoveTemplate(name) => EntryName::Template(name.clone()),
            Self::PutTenant(tenant) => EntryName::Tenant(tenant.name.clone()),
            Self::RemoveTenant(name) => EntryName::Tenant(name.clone()),
        }
    }
}

impl Document {
    /// The edits that change this document into the file, at most one for each entry.
    #[must_use]
    pub fn edits_from(&self, file: &ConfigurationFile) -> Vec<Edit> {
        let templates: BTreeMap<_, _> = by_name(&file.templates, |template| &template.name);
        let tenants: BTreeMap<_, _> = by_name(&file.tenants, |tenant| &tenant.name);
        let mut edits = Vec::new();
        edits.extend(missing(&self.tenants, &tenants).map(Edit::RemoveTenant));
        edits.extend(missing(&self.templates, &templates).map(Edit::RemoveTemplate));
        edits.extend(changed(&self.templates, &templates).map(Edit::PutTemplate));
        edits.extend(changed(&self.tenants, &tenants).map(Edit::PutTenant));
        edits
    }

    /// This document with the edits made, still under its own revision.
    #[must_use]
    pub fn with_edits(&self, edits: &[Edit]) -> Self {
        let mut document = self.clone();
        for edit in edits {
            document.apply_edit(edit);
        }
        document
    }

    /// Whether an entry is the same in both documents.
    fn has_same(&self, other: &Self, entry: &EntryName) -> bool {
        match entry {
            EntryName::Template(name) => self.templates.get(name) == other.templates.get(name),
            EntryName::Tenant(name) => self.tenants.get(name) == other.tenants.get(name),
        }
    }
}

fn by_name<'a, Name: Ord, Row>(
    rows: &'a [Row],
    name: impl Fn(&'a Row) -> &'a Name,
) -> BTreeMap<&'a Name, &'a Row> {
    rows.iter().map(|row| (name(row), row)).collect()
}

/// Names that are in the document and not in the file.
fn missing<Name: Ord + Clone, Row>(
    document: &BTreeMap<Name, Row>,
    file: &BTreeMap<&Name, &Row>,
) -> impl Iterator<Item = Name> {
    let names = document.keys().filter(|name| !file.contains_key(name));
    names.cloned().collect::<Vec<_>>().into_iter()
}

/// Rows of the file that the document does not have in the same form.
fn changed<Name: Ord, Row: PartialEq + Clone>(
    document: &BTreeMap<Name, Row>,
    file: &BTreeMap<&Name, &Row>,
) -> impl Iterator<Item = Row> {
    let rows = file
        .iter()
        .filter(|(name, row)| document.get(**name) != Some(**row));
    let rows: Vec<_> = rows.map(|(_, row)| (*row).clone()).collect();
    rows.into_iter()
}

/// Entries that the edits change and that have changed from `base`, which the operator read, to
/// `current`. Each is named once, in order.
#[must_use]
pub fn conflicts(base: &Document, current: &Document, edits: &[Edit]) -> Vec<EntryName> {
    let mut entries: Vec<_> = edits
        .iter()
        .map(Edit::entry)
        .filter(|entry| !base.has_same(current, entry))
        .collect();
    entries.sort();
    entries.dedup();
    entries
}

/// The unified difference of two documents, printed as configuration files; empty when they hold
/// the same entries.
#[must_use]
pub fn difference(from: &Document, to: &Document) -> String {
    let from_text = ConfigurationFile::from(from).print();
    let to_text = ConfigurationFile::from(to).print();
    let from_name = format!("revision {}", from.revision);
    let to_name = if from.revision == to.revision {
        format!("revision {} with the edits", to.revision)
    } else {
        format!("revision {}", to.revision)
    };
    TextDiff::from_lines(&from_text, &to_text)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(&from_name, &to_name)
        .to_string()
}
