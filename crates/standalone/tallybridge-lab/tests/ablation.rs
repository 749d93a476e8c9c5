//! The arithmetic of `tests/ablate`, on recorded plays.

use std::{path::Path, process::Command};

/// Three days with everything on and with one policy off, and one day with another off.
const PLAYS: &str = r#"
{"day": ["a/site.toml", "one", "1"], "switch": "all on", "worth": 0.80, "served": 0.90, "broken": ""}
{"day": ["a/site.toml", "one", "2"], "switch": "all on", "worth": 0.70, "served": 0.90, "broken": ""}
{"day": ["a/site.toml", "two", "1"], "switch": "all on", "worth": 0.60, "served": 0.90, "broken": ""}
{"day": ["a/site.toml", "one", "1"], "switch": "shed", "worth": 0.60, "served": 0.80, "broken": "RECOVER 1"}
{"day": ["a/site.toml", "one", "2"], "switch": "shed", "worth": 0.48, "served": 0.80, "broken": ""}
{"day": ["a/site.toml", "two", "1"], "switch": "shed", "worth": 0.42, "served": 0.80, "broken": ""}
{"day": ["a/site.toml", "one", "1"], "switch": "zone", "worth": 0.10, "served": 0.90, "broken": ""}
{"day": ["a/site.toml", "one", "9"], "switch": "zone", "worth": 0.10, "served": 0.90, "broken": ""}
"#;

#[test]
fn pairs_are_compared_and_what_is_within_noise_is_marked() {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../tests/ablate");
    let folder = tempfile::tempdir().unwrap();
    let plays = folder.path().join("plays.jsonl");
    std::fs::write(&plays, PLAYS.trim_start()).unwrap();
    let output = Command::new("python3")
        .arg(script)
        .args(["--clone", "."])
        .arg("--out")
        .arg(&plays)
        .output()
        .expect("python3 runs the script");
    assert!(output.status.success(), "{output:?}");
    let table = String::from_utf8(output.stdout).unwrap();
    let rows: Vec<&str> = table.lines().skip(2).collect();
    assert_eq!(
        rows,
        [
            "| site | `shed` | 3 | +0.200 | +0.100 | 0.020 |  | RECOVER 1 |",
            "| site | `zone` | 1 | +0.700 | +0.000 | 0.000 | noise |  |",
        ],
    );
}
