//! Values of templates that contradict each other.

use tallybridge_config::Rule;

use super::support::{Expected, assert_refused};

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
