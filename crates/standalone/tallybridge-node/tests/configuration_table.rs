//! The configuration of a node against the fold of the log: it never goes back, and what is in
//! force is the log at its revision.
//!
//! The long run: `PROPTEST_CASES=20000 cargo test -p tallybridge-node --test configuration_table`.

use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use tallybridge_config::{
    ConfigurationFile, Document, Edit, Revision, RevisionRecord, Tenant, TenantOverride,
};
use tallybridge_core::{TemplateName, TenantName};
use tallybridge_node::tables::configuration::{Configuration, ConfigurationUpdate};
use uuid::Uuid;

const TEMPLATE: &str = "[[template]]\nname = \"pay\"\nservice = \"billing\"\n";
/// Most records that a peer may be sent one by one.
const MOST_SINGLE_RECORDS: usize = 64;

/// What one record of the log does.
#[derive(Debug, Clone, Copy)]
enum Content {
    /// Adds a tenant.
    Good(u8),
    /// Points a tenant to a template that does not exist.
    Broken(u8),
}

fn tenant(number: u8, template: Option<&str>) -> Edit {
    let mut overrides: Vec<TenantOverride> = Vec::new();
    if let Some(template) = template {
        let text = format!(
            "{TEMPLATE}[[tenant]]\nname = \"t\"\n[[tenant.override]]\ntemplate = \"pay\"\nretry_allowance = 1\n"
        );
        let file = ConfigurationFile::parse("test.toml", &text);
        let mut file = file.unwrap_or_else(|mistakes| panic!("{mistakes:?}"));
        let mut one = file.tenants.remove(0).overrides.remove(0);
        one.template = TemplateName::from(template);
        overrides.push(one);
    }
    Edit::PutTenant(Tenant {
        name: TenantName::from(format!("tenant-{number}")),
        overrides,
    })
}

fn log_of(contents: &[Content]) -> Vec<RevisionRecord> {
    let file = ConfigurationFile::parse("test.toml", TEMPLATE);
    let mut file = file.unwrap_or_else(|mistakes| panic!("{mistakes:?}"));
    let first = Edit::PutTemplate(file.templates.remove(0));
    let edits = contents.iter().map(|content| match *content {
        Content::Good(number) => tenant(number, None),
        Content::Broken(number) => tenant(number, Some("missing")),
    });
    std::iter::once(first)
        .chain(edits)
        .zip(1..)
        .map(|(edit, revision)| RevisionRecord {
            revision: Revision(revision),
            change_id: Uuid::nil(),
            author: "test".to_owned(),
            made_unix_ms: 0,
            comment: String::new(),
            edits: vec![edit],
        })
        .collect()
}

fn fold(log: &[RevisionRecord], revision: usize) -> Document {
    let mut document = Document::default();
    for record in &log[..revision] {
        document.apply(record).expect("the log has no gap");
    }
    document
}

/// What reaches one of the two nodes.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Records of the log between two places, in per cent of its length.
    Records(usize, usize),
    /// The document at a place of the log, as a watcher that was paused may send it.
    Snapshot(usize),
    /// What the other node gives on request.
    Fetch,
}

fn place(log: &[RevisionRecord], per_cent: usize) -> usize {
    log.len() * per_cent / 100
}

fn steps() -> impl Strategy<Value = Vec<(bool, Step)>> {
    let step = prop_oneof![
        3 => (0..=100_usize, 0..=100_usize).prop_map(|(one, other)| {
            Step::Records(one.min(other), one.max(other))
        }),
        1 => (0..=100_usize).prop_map(Step::Snapshot),
        2 => Just(Step::Fetch),
    ];
    prop::collection::vec((any::<bool>(), step), 1..24)
}

fn contents() -> impl Strategy<Value = Vec<Content>> {
    let content = prop_oneof![
        12 => (0..6_u8).prop_map(Content::Good),
        1 => (0..6_u8).prop_map(Content::Broken),
    ];
    prop::collection::vec(content, 1..160)
}

fn give(node: &mut Configuration, other: &Configuration, log: &[RevisionRecord], step: Step) {
    match step {
        Step::Records(from, to) => {
            node.apply(&log[place(log, from)..place(log, to)]);
        }
        Step::Snapshot(at) => {
            node.apply_snapshot(fold(log, place(log, at)));
        }
        Step::Fetch => match other.update_after(node.revision()) {
            ConfigurationUpdate::Records(records) => {
                assert!(records.len() <= MOST_SINGLE_RECORDS);
                node.apply(&records);
            }
            ConfigurationUpdate::Snapshot(document) => {
                node.apply_snapshot((*document).clone());
            }
        },
    }
}

fn check(node: &Configuration, before: Revision, log: &[RevisionRecord]) {
    let revision = node.revision();
    assert!(revision >= before, "went back from {before} to {revision}");
    let in_force = node.document();
    let at = usize::try_from(revision.0).expect("small");
    assert_eq!(*in_force, fold(log, at), "not the log at {revision}");
    assert_eq!(in_force.check(), [], "revision {revision} breaks rules");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_node_never_goes_back_and_has_the_log_at_its_revision(
        contents in contents(),
        steps in steps(),
    ) {
        let log = log_of(&contents);
        let mut nodes = [Configuration::default(), Configuration::default()];
        for (second, step) in steps {
            let [first_node, second_node] = &mut nodes;
            let (node, other) = if second {
                (second_node, &*first_node)
            } else {
                (first_node, &*second_node)
            };
            let before = node.revision();
            give(node, other, &log, step);
            check(node, before, &log);
            // After a fetch nothing that the other has is lacking.
            if matches!(step, Step::Fetch) {
                prop_assert!(node.revision() >= other.revision());
            }
        }
    }
}

#[test]
fn a_broken_revision_is_named_and_passed_over_once_a_later_one_mends_it() {
    let log = log_of(&[
        Content::Good(1),
        Content::Broken(2),
        Content::Good(3),
        Content::Good(2),
    ]);
    let mut node = Configuration::default();
    node.apply(&log[..4]);
    assert_eq!(node.revision(), Revision(2));
    let refused = node.refused().expect("it says so");
    assert_eq!(refused.revision, Revision(4));
    assert!(refused.reason.contains("missing"), "{refused:?}");
    node.apply(&log[4..]);
    assert_eq!(node.revision(), Revision(5));
    assert_eq!(node.refused(), None);
}

#[test]
fn a_long_log_is_kept_in_bounded_memory() {
    let contents: Vec<_> = (0..3_000)
        .map(|number| Content::Good((number % 7) as u8))
        .collect();
    let log = log_of(&contents);
    let mut node = Configuration::default();
    node.apply(&log);
    assert_eq!(node.revision(), Revision(3_001));
    assert_eq!(node.kept_records(), 1_024);
    let update = node.update_after(Revision(3_001 - 64));
    assert!(matches!(update, ConfigurationUpdate::Records(records) if records.len() == 64));
    let update = node.update_after(Revision(3_001 - 65));
    assert!(matches!(update, ConfigurationUpdate::Snapshot(_)));
}
