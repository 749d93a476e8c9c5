//! A good file, and the assertion that one change of it makes one mistake.

use tallybridge_config::{ConfigurationFile, Mistakes, Rule};

pub const GOOD: &str = r#"[[template]]
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
pub type Expected<'a> = (Rule, usize, &'a str, &'a str, &'a str);

pub fn mistakes(text: &str) -> Mistakes {
    ConfigurationFile::parse("fleet.toml", text).expect_err("the file is wrong")
}

/// Replaces one part of the good file and asserts the single mistake of the result.
pub fn assert_refused(part: &str, replacement: &str, expected: Expected<'_>) {
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
