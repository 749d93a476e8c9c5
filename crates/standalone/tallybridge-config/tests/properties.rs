//! Properties over generated files. A long run: `PROPTEST_CASES=100000 cargo test -p
//! tallybridge-config --test properties --release`.

use proptest::{
    collection::vec,
    option,
    prelude::*,
    sample::{Index, select, subsequence},
    test_runner::{RngAlgorithm, RngSeed},
};
use tallybridge_config::{
    ConfigurationFile, Document, RetryOn, Settings, SettingsOverrides, Template, Tenant,
    TenantOverride,
};
use tallybridge_core::Criticality;

/// Cases of each property in CI; `PROPTEST_CASES` asks for more.
const DEFAULT_CASES: u32 = 64;
/// Seed of the generator, so that every run has the same cases.
const SEED: u64 = 0x7461_6c6c_7962;

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

/// The parts of a template that need no relation to others.
fn template() -> impl Strategy<Value = Template> {
    let methods = subsequence(vec!["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"], 0..=6);
    let treatment = (
        select(&Criticality::ALL),
        any::<bool>(),
        select(&RetryOn::ALL),
        any::<u8>(),
        1..=u32::MAX,
        any::<bool>(),
    );
    let limits = (
        1..=u32::MAX,
        1..=u32::MAX,
        option::of(1..=u16::MAX),
        any::<u16>(),
    );
    (methods, "/[ -~&&[^?# ]]{0,8}", treatment, limits).prop_map(
        |(methods, path_prefix, treatment, limits)| Template {
            name: "unnamed".into(),
            service: "unnamed".into(),
            methods: methods.into_iter().map(str::to_owned).collect(),
            path_prefix,
            criticality: treatment.0,
            idempotent: treatment.1 || treatment.2 == RetryOn::Unknown,
            retry_on: treatment.2,
            retry_allowance: treatment.3,
            deadline_ms: treatment.4,
            parent: treatment.5.then(|| "unnamed".into()),
            max_request_bytes: limits.0,
            max_answer_bytes: limits.1,
            concurrency_limit: limits.2,
            reserve: limits.3.min(limits.2.unwrap_or(u16::MAX)),
        },
    )
}

/// Gives templates names and services of their own, and each parent is the template before.
fn relate(mut templates: Vec<Template>) -> Vec<Template> {
    for index in 0..templates.len() {
        templates[index].name = format!("template-{index}").into();
        templates[index].service = format!("service-{index}").into();
        let before = index.checked_sub(1).map(|before| templates[before].clone());
        let template = &mut templates[index];
        template.parent = template
            .parent
            .take()
            .and(before.as_ref().map(|before| before.name.clone()));
        if template.parent.is_some() {
            let longest = before.map_or(u32::MAX, |before| before.deadline_ms);
            template.deadline_ms = template.deadline_ms.min(longest);
        }
    }
    templates
}

/// A file that breaks no rule.
fn good_file() -> impl Strategy<Value = ConfigurationFile> {
    let parameters = (select(&Criticality::ALL), option::of(any::<u8>()));
    let tenants = vec(vec(option::of(parameters), 0..6), 0..4);
    (vec(template(), 0..6), tenants).prop_map(|(templates, tenants)| {
        let templates = relate(templates);
        let tenants = tenants
            .into_iter()
            .enumerate()
            .map(|(index, chosen)| Tenant {
                name: format!("tenant-{index}").into(),
                overrides: templates
                    .iter()
                    .zip(chosen)
                    .filter_map(|(template, parameters)| {
                        let (criticality, retry_allowance) = parameters?;
                        Some(TenantOverride {
                            template: template.name.clone(),
                            deadline_ms: Some(template.deadline_ms),
                            criticality: Some(criticality),
                            retry_allowance,
                        })
                    })
                    .collect(),
            });
        let tenants = tenants.collect();
        ConfigurationFile { templates, tenants }
    })
}

/// Pieces of real files.
fn piece() -> impl Strategy<Value = &'static str> {
    select(vec![
        "[[template]]",
        "[[tenant]]",
        "[[tenant.override]]",
        "[tenant]",
        "[backend]",
        "\n",
        "\n",
        "\n",
        "name",
        "service",
        "methods",
        "parent",
        "deadline_ms",
        "reserve",
        "store",
        "seeds",
        "zone",
        "concurrency_limit",
        "peer_address",
        "override",
        "retry_on",
        "idempotent",
        "template",
        " = ",
        " = ",
        " = ",
        ".",
        ",",
        "[",
        "]",
        "{",
        "}",
        "\"a\"",
        "\"b\"",
        "\"/\"",
        "\"GET\"",
        "0",
        "-1",
        "99999999999999999999999999999999999999999999",
        "0xff",
        "1.5",
        "true",
        "\"unknown\"",
        "\"127.0.0.1:0\"",
        "\"é\"",
        "1979-05-27",
        "\"\"\"",
        "'",
        "#",
        "\u{feff}",
        "\r\n",
    ])
}

/// Text made of pieces of real files.
fn jumble() -> impl Strategy<Value = String> {
    vec(piece(), 0..40).prop_map(|pieces| pieces.concat())
}

/// A good file of which one line or word is replaced by a piece.
fn damaged_file() -> impl Strategy<Value = String> {
    let damage = (any::<Index>(), any::<bool>(), piece());
    (good_file(), damage).prop_map(|(file, (index, is_line, piece))| {
        let separators: &[char] = if is_line { &['\n'] } else { &[' ', '\n'] };
        let printed = file.print();
        let mut parts: Vec<_> = printed.split_inclusive(separators).collect();
        if !parts.is_empty() {
            let at = index.index(parts.len());
            parts[at] = piece;
        }
        parts.concat()
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_printed_file_is_read_back_the_same(file in good_file()) {
        let printed = file.print();
        let parsed = ConfigurationFile::parse("printed.toml", &printed);
        prop_assert_eq!(parsed.expect("a good file has no mistakes"), file);
    }

    #[test]
    fn edits_lead_from_any_document_to_any_file(from in good_file(), to in good_file()) {
        let empty = Document::default();
        let from = empty.with_edits(&empty.edits_from(&from));
        let reached = from.with_edits(&from.edits_from(&to));
        prop_assert_eq!(reached.edits_from(&to), vec![]);
        prop_assert_eq!(ConfigurationFile::from(&reached).templates.len(), to.templates.len());
        prop_assert_eq!(reached.check(), vec![]);
    }

    #[test]
    fn arbitrary_bytes_are_read_or_refused_with_mistakes(bytes in vec(any::<u8>(), 0..256)) {
        assert_read_or_refused(&bytes)?;
    }

    #[test]
    fn jumbled_text_is_read_or_refused_with_mistakes(text in jumble()) {
        assert_read_or_refused(text.as_bytes())?;
    }

    #[test]
    fn a_damaged_file_is_refused_or_read_as_serde_reads_it(text in damaged_file()) {
        assert_read_or_refused(text.as_bytes())?;
        if let Ok(file) = ConfigurationFile::parse("damaged.toml", &text) {
            prop_assert_eq!(file.check(), vec![]);
            let by_serde: ConfigurationFile = toml::from_str(&text).expect("serde reads it too");
            prop_assert_eq!(by_serde, file);
        }
    }
}

/// Neither reader panics, and a refusal names at least one mistake and renders.
fn assert_read_or_refused(bytes: &[u8]) -> Result<(), TestCaseError> {
    let no_flags = SettingsOverrides::default();
    let settings = Settings::parse_bytes_with("bytes.toml", bytes, &no_flags).err();
    let configuration = ConfigurationFile::parse_bytes("bytes.toml", bytes).err();
    for mistakes in settings.into_iter().chain(configuration) {
        prop_assert!(mistakes.iter().next().is_some());
        let report = format!("{:?}", miette::Report::new(mistakes));
        prop_assert!(report.contains("bytes.toml"));
    }
    Ok(())
}
