//! Every mistake of a configuration file is named with its line, field, value and what is allowed.

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use tallybridge_config::{ConfigurationFile, Document, Mistakes, Rule};

const GOOD: &str = r#"[[template]]
name = "pay"
service = "billing"
path_prefix = "/pay"
deadline_ms = 1000
concurrency_limit = 8

[[template]]
name = "ledger"
service = "ledger"
methods = ["POST"]
idempotent = false
deadline_ms = 500
parent = "pay"

[[tenant]]
name = "acme"
[[tenant.override]]
template = "ledger"
deadline_ms = 400
"#;

/// What the mistake must say: rule, line, field, given and a part of what is allowed.
type Expected<'a> = (Rule, usize, &'a str, &'a str, &'a str);

fn mistakes(text: &str) -> Mistakes {
    ConfigurationFile::parse("fleet.toml", text).expect_err("the file is wrong")
}

/// Replaces one part of the good file and asserts the single mistake of the result.
fn assert_refused(part: &str, replacement: &str, expected: Expected<'_>) {
    assert!(GOOD.contains(part), "{part}");
    let mistakes = mistakes(&GOOD.replacen(part, replacement, 1));
    let all: Vec<_> = mistakes.iter().collect();
    assert_eq!(all.len(), 1, "{all:?}");
    let (rule, line, field, given, allowed) = expected;
    let mistake = all[0];
    assert_eq!(mistake.rule, rule, "{mistake}");
    assert_eq!(mistake.file, "fleet.toml");
    assert_eq!(mistake.line(), Some(line), "{mistake}");
    assert_eq!(mistake.field, field, "{mistake}");
    assert_eq!(mistake.given, given, "{mistake}");
    assert!(mistake.allowed.contains(allowed), "{mistake}");
    assert!(!mistake.mend.is_empty(), "{mistake}");
}

#[test]
fn a_good_file_is_read() {
    let file = ConfigurationFile::parse("fleet.toml", GOOD).expect("the file is good");
    assert_eq!(file.templates.len(), 2);
    assert_eq!(file.tenants[0].overrides[0].deadline_ms, Some(400));
    assert_eq!(file.check(), []);
}

#[test]
fn absent_fields_have_the_defaults_that_serde_gives_them() {
    let least =
        "[[template]]\nname = \"pay\"\nservice = \"billing\"\n[[tenant]]\nname = \"acme\"\n";
    let file = ConfigurationFile::parse("fleet.toml", least).expect("the rest has defaults");
    let by_serde: ConfigurationFile = toml::from_str(least).expect("serde has defaults too");
    assert_eq!(file, by_serde);
    assert!(file.templates[0].idempotent);
}

#[test]
fn an_empty_file_is_an_empty_configuration() {
    let file = ConfigurationFile::parse("fleet.toml", "").expect("nothing is wrong");
    assert_eq!(file, ConfigurationFile::default());
}

#[test]
fn each_bad_value_of_a_template_is_named() {
    let cases: &[(&str, &str, Expected<'_>)] = &[
        (
            "= \"billing\"",
            "= \"bil ling\"",
            (
                Rule::InvalidName,
                3,
                "template[pay].service",
                "\"bil ling\"",
                "a-z",
            ),
        ),
        (
            "service = \"billing\"\n",
            "",
            (
                Rule::MissingField,
                1,
                "template[pay].service",
                "absent",
                "a value",
            ),
        ),
        (
            "\"/pay\"",
            "\"pay\"",
            (
                Rule::InvalidPathPrefix,
                4,
                "template[pay].path_prefix",
                "\"pay\"",
                "`/`",
            ),
        ),
        (
            "\"/pay\"",
            "\"/pay?x\"",
            (
                Rule::InvalidPathPrefix,
                4,
                "template[pay].path_prefix",
                "\"/pay?x\"",
                "without `?`",
            ),
        ),
        (
            "\"POST\"",
            "\"post\"",
            (
                Rule::UnknownMethod,
                11,
                "template[ledger].methods[0]",
                "\"post\"",
                "POST",
            ),
        ),
        (
            "\"POST\"",
            "\"CONNECT\"",
            (
                Rule::UnknownMethod,
                11,
                "template[ledger].methods[0]",
                "\"CONNECT\"",
                "POST",
            ),
        ),
        (
            "\"POST\"",
            "7",
            (
                Rule::WrongType,
                11,
                "template[ledger].methods[0]",
                "7",
                "a text",
            ),
        ),
        (
            "idempotent = false",
            "idempotent = \"no\"",
            (
                Rule::WrongType,
                12,
                "template[ledger].idempotent",
                "\"no\"",
                "true or false",
            ),
        ),
        (
            "deadline_ms = 1000",
            "deadline_ms = 0",
            (
                Rule::OutOfRange,
                5,
                "template[pay].deadline_ms",
                "0",
                "1 to 4294967295",
            ),
        ),
        (
            "deadline_ms = 1000",
            "deadline_ms = 4294967296",
            (
                Rule::OutOfRange,
                5,
                "template[pay].deadline_ms",
                "4294967296",
                "1 to 4294967295",
            ),
        ),
        (
            "deadline_ms = 1000",
            "deadline_ms = \"1s\"",
            (
                Rule::WrongType,
                5,
                "template[pay].deadline_ms",
                "\"1s\"",
                "an integer from 1",
            ),
        ),
        (
            "= 8\n",
            "= 0\n",
            (
                Rule::OutOfRange,
                6,
                "template[pay].concurrency_limit",
                "0",
                "1 to 65535",
            ),
        ),
        (
            "= 8\n",
            "= 8\nreserve = 9\n",
            (
                Rule::ReserveAboveLimit,
                7,
                "template[pay].reserve",
                "9",
                "0 to 8",
            ),
        ),
        (
            "= 8\n",
            "= 8\nmax_request_bytes = 0\n",
            (
                Rule::OutOfRange,
                7,
                "template[pay].max_request_bytes",
                "0",
                "1 to",
            ),
        ),
        (
            "= 8\n",
            "= 8\nmax_answer_bytes = 0\n",
            (
                Rule::OutOfRange,
                7,
                "template[pay].max_answer_bytes",
                "0",
                "1 to",
            ),
        ),
        (
            "= 8\n",
            "= 8\nretry_allowance = 256\n",
            (
                Rule::OutOfRange,
                7,
                "template[pay].retry_allowance",
                "256",
                "0 to 255",
            ),
        ),
        (
            "= 8\n",
            "= 8\ncriticality = \"high\"\n",
            (
                Rule::UnknownValue,
                7,
                "template[pay].criticality",
                "\"high\"",
                "\"critical-plus\"",
            ),
        ),
        (
            "= 8\n",
            "= 8\nretry_on = \"always\"\n",
            (
                Rule::UnknownValue,
                7,
                "template[pay].retry_on",
                "\"always\"",
                "\"not-run\"",
            ),
        ),
        (
            "= 8\n",
            "= 8\ncolour = 1\n",
            (
                Rule::UnknownField,
                7,
                "template[pay].colour",
                "an unknown field",
                "concurrency_limit",
            ),
        ),
    ];
    for (part, replacement, expected) in cases {
        assert_refused(part, replacement, *expected);
    }
}

#[test]
fn each_broken_relation_of_templates_is_named() {
    let ledger_deadline = "deadline_ms = 500";
    let cases: &[(&str, &str, Expected<'_>)] = &[
        (
            "idempotent = false",
            "idempotent = false\nretry_on = \"unknown\"",
            (
                Rule::UnsafeRetry,
                13,
                "template[ledger].retry_on",
                "\"unknown\"",
                "\"not-run\"",
            ),
        ),
        (
            ledger_deadline,
            "deadline_ms = 1001",
            (
                Rule::DeadlineAboveParent,
                13,
                "template[ledger].deadline_ms",
                "1001",
                "1 to 1000, the deadline of the parent `pay`",
            ),
        ),
        (
            "parent = \"pay\"",
            "parent = \"buy\"",
            (
                Rule::UnknownParent,
                14,
                "template[ledger].parent",
                "\"buy\"",
                "pay, ledger",
            ),
        ),
        (
            "parent = \"pay\"",
            "parent = \"ledger\"",
            (
                Rule::ParentCycle,
                14,
                "template[ledger].parent",
                "ledger -> ledger",
                "not nested",
            ),
        ),
        (
            "deadline_ms = 1000",
            "parent = \"ledger\"",
            (
                Rule::ParentCycle,
                5,
                "template[pay].parent",
                "pay -> ledger -> pay",
                "not nested",
            ),
        ),
        (
            "[[tenant]]",
            "[[template]]\nname = \"pay\"\nservice = \"x\"\n[[tenant]]",
            (
                Rule::DuplicateName,
                17,
                "template[pay].name",
                "\"pay\"",
                "no template above",
            ),
        ),
        (
            "[[tenant]]",
            "[[template]]\nname = \"pay-2\"\nservice = \"billing\"\npath_prefix = \"/pay\"\nmethods = [\"GET\"]\n[[tenant]]",
            (
                Rule::DuplicateCoverage,
                19,
                "template[pay-2].path_prefix",
                "\"/pay\" of billing for GET",
                "template `pay`",
            ),
        ),
    ];
    for (part, replacement, expected) in cases {
        assert_refused(part, replacement, *expected);
    }
}

#[test]
fn templates_of_one_path_may_split_the_methods() {
    let split = "[[template]]\nname = \"ledger-get\"\nservice = \"ledger\"\nmethods = [\"GET\"]\n";
    let file = ConfigurationFile::parse("fleet.toml", &format!("{GOOD}\n{split}"));
    assert_eq!(file.expect("POST and GET differ").templates.len(), 3);
}

#[test]
fn each_bad_value_of_a_tenant_is_named() {
    let reference = "template = \"ledger\"";
    let cases: &[(&str, &str, Expected<'_>)] = &[
        (
            "\"acme\"",
            "\"ACME\"",
            (
                Rule::InvalidName,
                17,
                "tenant[ACME].name",
                "\"ACME\"",
                "a-z",
            ),
        ),
        (
            "name = \"acme\"\n",
            "",
            (
                Rule::MissingField,
                16,
                "tenant[#1].name",
                "absent",
                "a value",
            ),
        ),
        (
            "[[tenant]]",
            "[[tenant]]\nname = \"acme\"\n[[tenant]]",
            (
                Rule::DuplicateName,
                19,
                "tenant[acme].name",
                "\"acme\"",
                "no tenant above",
            ),
        ),
        (
            reference,
            "template = \"ledgr\"",
            (
                Rule::UnknownTemplate,
                19,
                "tenant[acme].override[ledgr].template",
                "\"ledgr\"",
                "pay, ledger",
            ),
        ),
        (
            reference,
            "template = \"ledger\"\nretries = 1",
            (
                Rule::UnknownField,
                20,
                "tenant[acme].override[ledger].retries",
                "an unknown field",
                "retry_allowance",
            ),
        ),
        (
            "deadline_ms = 400",
            "deadline_ms = 1001",
            (
                Rule::OverrideDeadlineAboveParent,
                20,
                "tenant[acme].override[ledger].deadline_ms",
                "1001",
                "1 to 1000",
            ),
        ),
        (
            "deadline_ms = 400",
            "deadline_ms = 0",
            (
                Rule::OutOfRange,
                20,
                "tenant[acme].override[ledger].deadline_ms",
                "0",
                "1 to",
            ),
        ),
        (
            "\"ledger\"\ndeadline_ms = 400",
            "\"pay\"\ndeadline_ms = 499",
            (
                Rule::OverrideDeadlineAboveParent,
                20,
                "tenant[acme].override[pay].deadline_ms",
                "499",
                "at least 500, the deadline of the nested `ledger`",
            ),
        ),
        (
            "deadline_ms = 400",
            "deadline_ms = 400\n[[tenant.override]]\ntemplate = \"ledger\"",
            (
                Rule::DuplicateOverride,
                22,
                "tenant[acme].override[ledger].template",
                "\"ledger\"",
                "one override",
            ),
        ),
        (
            "[[tenant.override]]",
            "override = 3\n[tenant.x]",
            (
                Rule::WrongType,
                18,
                "tenant[acme].override",
                "3",
                "[[override]]",
            ),
        ),
    ];
    for (part, replacement, expected) in &cases[..cases.len() - 1] {
        assert_refused(part, replacement, *expected);
    }
    let (part, replacement, expected) = cases[cases.len() - 1];
    let mistakes = mistakes(&GOOD.replacen(part, replacement, 1));
    let first = mistakes.iter().next().expect("there are mistakes");
    assert_eq!(
        (first.rule, first.line(), first.field.as_str()),
        (expected.0, Some(expected.1), expected.2)
    );
}

#[test]
fn a_wrong_value_does_not_make_others_look_wrong() {
    let text = GOOD
        .replace("deadline_ms = 1000", "deadline_ms = \"1s\"")
        .replace("name = \"ledger\"", "name = 4");
    let mistakes = mistakes(&text);
    let found: Vec<_> = mistakes
        .iter()
        .map(|mistake| (mistake.line(), mistake.rule))
        .collect();
    assert_eq!(
        found,
        [
            (Some(5), Rule::WrongType),
            (Some(9), Rule::WrongType),
            // The name can't be read, so the reference to it can't be resolved either.
            (Some(19), Rule::UnknownTemplate),
        ]
    );
}

#[test]
fn a_syntax_error_leaves_out_what_depends_on_other_lines() {
    let text = GOOD
        .replace("name = \"ledger\"", "name = \"ledger")
        .replace("\"POST\"", "\"post\"");
    let mistakes = mistakes(&text);
    let found: Vec<_> = mistakes
        .iter()
        .map(|mistake| (mistake.line(), mistake.rule))
        .collect();
    assert_eq!(
        found,
        [(Some(9), Rule::Syntax), (Some(11), Rule::UnknownMethod)]
    );
}

#[test]
fn the_report_shows_file_line_value_allowed_and_mend_of_every_mistake() {
    let text = GOOD
        .replace("= 8\n", "= 8\nreserve = 9\n")
        .replace("\"POST\"", "\"post\"");
    let mistakes = mistakes(&text);
    assert_eq!(
        mistakes.code().map(|code| code.to_string()),
        Some("invalid-configuration".to_owned())
    );
    let mut report = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::none())
        .with_width(200)
        .render_report(&mut report, &mistakes)
        .expect("the report renders");
    for part in [
        "fleet.toml: 2 mistakes",
        "reserve-above-limit",
        "fleet.toml:7:11: `template[pay].reserve` is 9; allowed: 0 to 8",
        "reserve = 9",
        "lower `reserve` to 8 or raise `concurrency_limit`",
        "unknown-method",
        "fleet.toml:12:12",
        "write it as `POST`",
    ] {
        assert!(report.contains(part), "{part} is not in:\n{report}");
    }
}

#[test]
fn a_document_is_checked_without_its_text() {
    let file = ConfigurationFile::parse("fleet.toml", GOOD).expect("the file is good");
    let mut document = Document::default();
    let edits = document.edits_from(&file);
    document = document.with_edits(&edits);
    assert_eq!(document.check(), []);
    document.templates.remove(&"pay".into());
    document.tenants.insert(
        "umbra".into(),
        tallybridge_config::Tenant {
            name: "umbra".into(),
            overrides: vec![tallybridge_config::TenantOverride {
                template: "pay".into(),
                deadline_ms: None,
                criticality: None,
                retry_allowance: Some(1),
            }],
        },
    );
    let violations = document.check();
    let found: Vec<_> = violations
        .iter()
        .map(|violation| (violation.rule, violation.field.as_str()))
        .collect();
    assert_eq!(
        found,
        [
            (Rule::UnknownParent, "template[ledger].parent"),
            (
                Rule::UnknownTemplate,
                "tenant[umbra].override[pay].template"
            ),
        ]
    );
}
