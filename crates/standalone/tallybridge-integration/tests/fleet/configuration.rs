//! The fleet's configuration: templates for the three kinds of requests.

use tallybridge_config::{ConfigurationFile, Edit, Revision, RevisionRecord, Tenant};
use tallybridge_core::TenantName;

use super::{TENANT, history::Kind, service_name};

fn template_text(kind: Kind, position: usize) -> String {
    let treatment = match kind {
        Kind::Payment => "criticality = \"critical-plus\"\nidempotent = false\n",
        Kind::Read => "criticality = \"critical\"\nretry_on = \"unknown\"\n",
        Kind::Bulk => "criticality = \"sheddable\"\nretry_on = \"unknown\"\n",
    };
    let service = service_name(position);
    let path = kind.path();
    format!(
        "[[template]]\nname = \"{service}{}\"\nservice = \"{service}\"\npath_prefix = \"{path}\"\n\
         retry_allowance = {}\n{treatment}",
        path.replace('/', "-"),
        super::history::RETRY_ALLOWANCE,
    )
}

fn record(revision: u64, edits: Vec<Edit>) -> RevisionRecord {
    RevisionRecord {
        revision: Revision(revision),
        change_id: uuid::Uuid::from_u128(revision.into()),
        author: "test".to_owned(),
        made_unix_ms: 0,
        comment: String::new(),
        edits,
    }
}

fn tenant(name: &str) -> Edit {
    Edit::PutTenant(Tenant {
        name: TenantName::from(name),
        overrides: Vec::new(),
    })
}

pub fn first_records() -> Vec<RevisionRecord> {
    let positions = Kind::ALL.into_iter().flat_map(|kind| {
        let chain = kind.chain().iter();
        chain.map(move |position| template_text(kind, *position))
    });
    let text: String = positions.collect();
    let file = ConfigurationFile::parse("test.toml", &text);
    let file = file.unwrap_or_else(|mistakes| panic!("{mistakes:?}"));
    let mut edits: Vec<_> = file.templates.into_iter().map(Edit::PutTemplate).collect();
    edits.push(tenant(TENANT));
    vec![record(1, edits)]
}

/// The first records and those after it, each of which adds a tenant.
pub fn records_up_to(revision: u64) -> Vec<RevisionRecord> {
    let mut records = first_records();
    for next in 2..=revision {
        records.push(record(next, vec![tenant(&format!("tenant-{next}"))]));
    }
    records
}
