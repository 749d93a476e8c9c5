//! Values of a tenant.

use tallybridge_config::Rule;

use super::support::{Expected, GOOD, assert_refused, mistakes};

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
