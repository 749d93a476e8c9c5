//! What is told of a wrong file as a whole.

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use tallybridge_config::{ConfigurationFile, Document, Rule};

use super::support::{GOOD, mistakes};

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
