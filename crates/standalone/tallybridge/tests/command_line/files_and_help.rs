//! `check`, `node` with wrong settings, help, completions and wrong arguments.

use crate::support::{Files, tallybridge};

const SETTINGS: &str = r#"peer_address = "127.0.0.1:7401"
caller_address = "127.0.0.1:7402"
admin_address = "127.0.0.1:7403"
region = "north"
zone = "hall-a"
store = ["127.0.0.1:2379"]
"#;
const CONFIGURATION: &str = "[[template]]\nname = \"pay\"\nservice = \"billing\"\n";

#[tokio::test]
async fn good_files_of_both_kinds_pass() {
    let files = Files::new();
    let settings = files.write("node.toml", SETTINGS);
    let configuration = files.write("fleet.toml", CONFIGURATION);
    let paths = [settings, configuration];
    let [settings, configuration] = paths.each_ref().map(|path| path.to_str().expect("text"));
    let output = tallybridge(&["check", settings, configuration])
        .await
        .output();
    assert!(
        output.contains("node.toml: settings, no mistakes\n"),
        "{output}"
    );
    assert!(
        output.contains("fleet.toml: configuration, no mistakes\n"),
        "{output}"
    );
}

#[tokio::test]
async fn all_mistakes_of_all_files_come_in_one_report() {
    let files = Files::new();
    let settings = files.write("node.toml", &SETTINGS.replace("hall-a", "Hall A"));
    let wrong = format!("{CONFIGURATION}deadline_ms = 0\ncolour = 1\n");
    let configuration = files.write("fleet.toml", &wrong);
    let paths = [settings, configuration];
    let [settings, configuration] = paths.each_ref().map(|path| path.to_str().expect("text"));
    let report = tallybridge(&["check", settings, configuration])
        .await
        .refusal(84);
    for part in [
        "3 mistakes in 2 files",
        "node.toml:5:8: `zone` is \"Hall A\"",
        "fleet.toml:4:15: `template[pay].deadline_ms` is 0; allowed: an integer from 1 to 4294967295",
        "fleet.toml:5:1: `template[pay].colour` is an unknown field",
        "write it as `hall-a`",
    ] {
        assert!(report.contains(part), "{part} is not in:\n{report}");
    }
}

#[tokio::test]
async fn a_file_of_neither_kind_needs_the_flag() {
    let files = Files::new();
    let empty = files.write("empty.toml", "");
    let empty = empty.to_str().expect("text");
    let report = tallybridge(&["check", empty]).await.refusal(84);
    assert!(report.contains("--kind"), "{report}");
    let output = tallybridge(&["check", "--kind", "configuration", empty]).await;
    assert!(output.output().contains("configuration, no mistakes"));
    let report = tallybridge(&["check", "--kind", "settings", empty]).await;
    assert!(report.refusal(84).contains("`peer_address` is absent"));
}

#[tokio::test]
async fn a_missing_file_is_named() {
    let report = tallybridge(&["check", "no/such/file.toml"])
        .await
        .refusal(84);
    assert!(
        report.contains("no/such/file.toml can't be read"),
        "{report}"
    );
}

#[tokio::test]
async fn a_flag_of_node_goes_before_the_file_and_is_checked_with_it() {
    let files = Files::new();
    let settings = files.write("node.toml", SETTINGS);
    let settings = settings.to_str().expect("text");
    let flags = ["--caller-address", "127.0.0.1:7401", "--zone", "B"];
    let report = tallybridge(&[&["node", settings], &flags[..]].concat())
        .await
        .refusal(84);
    for part in [
        "2 mistakes in 1 file\n",
        "command line: `caller_address` is 127.0.0.1:7401",
        "command line: `zone` is \"B\"",
    ] {
        assert!(report.contains(part), "{part} is not in:\n{report}");
    }
    let report = tallybridge(&["node", settings, "--log", "a=b=c"])
        .await
        .refusal(84);
    assert!(report.contains("`log` is \"a=b=c\""), "{report}");
}

#[tokio::test]
async fn every_command_shows_examples() {
    let commands: [&[&str]; 10] = [
        &[],
        &["node"],
        &["check"],
        &["config", "get"],
        &["config", "apply"],
        &["config", "diff"],
        &["config", "history"],
        &["status"],
        &["explain"],
        &["completions"],
    ];
    for command in commands {
        let help = tallybridge(&[command, &["--help"]].concat()).await.output();
        assert!(help.contains("Example"), "{command:?}: {help}");
        assert!(help.contains("\n  tallybridge "), "{command:?}: {help}");
    }
}

#[tokio::test]
async fn wrong_arguments_end_with_the_code_of_an_invalid_request() {
    for arguments in [
        &["fly"][..],
        &[],
        &["status"],
        &["config", "apply", "f"],
        &["check"],
    ] {
        let report = tallybridge(arguments).await.refusal(64);
        assert!(report.contains("Usage"), "{arguments:?}: {report}");
    }
}

#[tokio::test]
async fn completions_know_the_commands() {
    for shell in ["bash", "zsh", "fish"] {
        let script = tallybridge(&["completions", shell]).await.output();
        assert!(script.contains("explain"), "{shell}: {script}");
    }
}
