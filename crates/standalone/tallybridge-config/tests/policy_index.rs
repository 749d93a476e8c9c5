//! The index finds the policy that a look at every template finds. A long run:
//! `PROPTEST_CASES=100000 cargo test -p tallybridge-config --test policy_index --release`.

use proptest::{
    collection::vec,
    prelude::*,
    sample::{select, subsequence},
    test_runner::{RngAlgorithm, RngSeed},
};
use tallybridge_config::{
    Document, Edit, PolicyIndex, RetryOn, Revision, RevisionRecord, Template, Tenant,
};
use tallybridge_core::Criticality;

/// Cases in CI; `PROPTEST_CASES` asks for more.
const DEFAULT_CASES: u32 = 256;
/// Seed of the generator, so that every run has the same cases.
const SEED: u64 = 0x7461_6c6c_7963;

const SERVICES: [&str; 3] = ["bills", "cards", "mail"];
const PATHS: [&str; 5] = ["/", "/pay", "/pay/now", "/list", "/pay/"];
const METHODS: [&str; 2] = ["GET", "POST"];

fn config() -> ProptestConfig {
    let asked = std::env::var("PROPTEST_CASES").ok();
    let asked = asked.and_then(|cases| cases.parse().ok());
    ProptestConfig {
        cases: asked.unwrap_or(DEFAULT_CASES),
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Few names, services and paths, so that templates replace each other and overlap.
fn template() -> impl Strategy<Value = Template> {
    let methods = subsequence(METHODS.to_vec(), 0..=2);
    (0..6_u8, select(&SERVICES), select(&PATHS), methods).prop_map(
        |(name, service, path, methods)| Template {
            name: format!("template-{name}").into(),
            service: service.into(),
            methods: methods.into_iter().map(str::to_owned).collect(),
            path_prefix: path.to_owned(),
            criticality: Criticality::default(),
            idempotent: true,
            retry_on: RetryOn::NotRun,
            retry_allowance: 2,
            deadline_ms: 1_000,
            parent: None,
            max_request_bytes: 1,
            max_answer_bytes: 1,
            concurrency_limit: None,
            reserve: 0,
        },
    )
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        4 => template().prop_map(Edit::PutTemplate),
        1 => (0..6_u8).prop_map(|name| Edit::RemoveTemplate(format!("template-{name}").into())),
        1 => Just(Edit::PutTenant(Tenant { name: "market".into(), overrides: Vec::new() })),
        1 => Just(Edit::RemoveTenant("market".into())),
    ]
}

/// The index and the look at every template agree on every call.
fn assert_agreement(index: &PolicyIndex, document: &Document) -> Result<(), TestCaseError> {
    let tenant = "market".into();
    for service in SERVICES {
        for method in METHODS {
            for path in PATHS.iter().chain(&["/payment", "/pay/now/x"]) {
                let service = service.into();
                prop_assert_eq!(
                    index.policy(document, &tenant, &service, method, path),
                    document.policy(&tenant, &service, method, path)
                );
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// Also an index that is behind: it must not answer from templates that are gone.
    #[test]
    fn the_index_agrees_with_every_document(changes in vec(vec(edit(), 1..4), 1..8)) {
        let mut document = Document::default();
        let mut behind = PolicyIndex::default();
        for (number, edits) in changes.into_iter().enumerate() {
            let record = RevisionRecord {
                revision: Revision(number as u64 + 1),
                change_id: uuid::Uuid::nil(),
                author: String::new(),
                made_unix_ms: 0,
                comment: String::new(),
                edits,
            };
            document.apply(&record).expect("the next revision");
            assert_agreement(&behind, &document)?;
            behind = PolicyIndex::of(&document);
            assert_agreement(&behind, &document)?;
        }
    }
}
