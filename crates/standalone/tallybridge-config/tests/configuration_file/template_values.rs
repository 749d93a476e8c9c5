//! Single values of a template.

use tallybridge_config::Rule;

use super::support::{Expected, assert_refused};

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
