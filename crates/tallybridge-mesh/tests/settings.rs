//! Parsing and validation of settings. Guards against errors that do not name the invalid field.

use tallybridge_mesh::{MeshSettings, PolicySettings, SettingOrigin};

const VALID_SETTINGS: &str = r#"
node = "n1"
zone = "a"
region = "r"
peer_address = "10.0.0.1:7000"
caller_address = "10.0.0.1:7001"
ready_address = "10.0.0.1:7002"
report_address = "10.0.0.1:7003"
metrics_address = "10.0.0.1:7004"
store_address = "10.9.0.1:80"
stop_grace_ms = 6000
unknown_field = "ignored"

[backend]
service = "ledger"
address = "10.0.0.1:9000"
report_interval_ms = 1500

[retry]
ratio = 0.2
window_ms = 10000
slack = 55
"#;

#[test]
fn accepts_valid_settings_and_ignores_unknown_fields() {
    let settings = MeshSettings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(settings.backend.service, "ledger");
    assert!(settings.changes_requiring_restart(&settings).is_empty());
    assert!(!settings.new_fleet, "`new_fleet` must default to false");
    let new_fleet = VALID_SETTINGS.replace("stop_grace_ms", "new_fleet = true\nstop_grace_ms");
    let new_fleet = MeshSettings::parse(&new_fleet).unwrap();
    assert!(new_fleet.new_fleet);
}

#[test]
fn rejects_invalid_settings_by_field() {
    let cases = [
        ("node = \"n1\"", "node = \"\"", "`node` is empty"),
        ("node = \"n1\"", "", "missing field `node`"),
        ("10.0.0.1:7000", "10.0.0.1", "peer_address"),
        (
            "ratio = 0.2",
            "ratio = 2.0",
            "`retry.ratio` is not between 0 and 1",
        ),
        ("ratio = 0.2", "ratio = \"much\"", "ratio"),
        (
            "window_ms = 10000",
            "window_ms = 10",
            "`retry.window_ms` is below 100",
        ),
        (
            "stop_grace_ms = 6000",
            "stop_grace_ms = 3",
            "`stop_grace_ms` is below 500",
        ),
        (
            "stop_grace_ms = 6000",
            "stop_grace_ms = 6000\nmemory_mb = 63",
            "`memory_mb` is below 64",
        ),
        (
            "10.0.0.1:7002",
            "10.0.0.1:7001",
            "`ready_address` and `caller_address` are both",
        ),
        (
            "service = \"ledger\"",
            "service = \"\"",
            "`backend.service` is empty",
        ),
        ("[retry]", "[retry", "line 19"),
    ];
    for (valid, invalid, expected) in cases {
        let text = VALID_SETTINGS.replacen(valid, invalid, 1);
        let error = MeshSettings::parse(&text).unwrap_err();
        assert!(
            error.detail.contains(expected),
            "{expected}: {}",
            error.detail
        );
        assert!(!error.help.is_empty());
    }
}

#[test]
fn lists_changes_that_require_a_restart() {
    let settings = MeshSettings::parse(VALID_SETTINGS).unwrap();
    let changed = VALID_SETTINGS
        .replace("zone = \"a\"", "zone = \"b\"")
        .replace("ratio = 0.2", "ratio = 0.1");
    let changed = MeshSettings::parse(&changed).unwrap();
    assert_eq!(settings.changes_requiring_restart(&changed), ["zone"]);
}

#[test]
fn policies_default_to_on() {
    let settings = MeshSettings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(settings.policy, PolicySettings::default());
    assert!(settings.policy.switches().iter().all(|switch| switch.is_on));
    let text = format!("{VALID_SETTINGS}\n[policy]\nrepeats = false\n");
    let without_retries = MeshSettings::parse(&text).unwrap();
    assert!(!without_retries.policy.retries && without_retries.policy.shed_at_entry);
    assert_eq!(
        settings.changes_requiring_restart(&without_retries),
        ["policy"]
    );
    let rows = MeshSettings::effective(&text).unwrap();
    let row = |name: &str| rows.iter().find(|row| row.name == name).unwrap();
    let retry_switch = row("policy.repeats");
    assert_eq!(
        (&*retry_switch.value, retry_switch.origin),
        ("false", SettingOrigin::File)
    );
    let shedding_switch = row("policy.shed_at_entry");
    assert_eq!(
        (&*shedding_switch.value, shedding_switch.origin),
        ("true", SettingOrigin::Default)
    );
    assert_eq!(row("retry.ratio").origin, SettingOrigin::File);
    let invalid = format!("{VALID_SETTINGS}\n[policy]\nrepeats = \"no\"\n");
    let error = MeshSettings::parse(&invalid).unwrap_err();
    assert!(error.to_string().contains("repeats"), "{error}");
}

#[test]
fn parses_and_validates_tenant_settings() {
    let defaults = MeshSettings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(defaults.tenants.revoke_within_ms, None);
    let table =
        "revoke_within_ms = 5000\nquota_window_ms = 5000\nquota_overage = 0.1\nquota_slack = 20";
    let text = format!("{VALID_SETTINGS}\n[tenants]\n{table}\n");
    let settings = MeshSettings::parse(&text).unwrap();
    assert_eq!(settings.tenants.revoke_within_ms, Some(5000));
    assert_eq!(defaults.changes_requiring_restart(&settings), ["tenants"]);
    let rows = MeshSettings::effective(&text).unwrap();
    let row = |name: &str| rows.iter().find(|row| row.name == name).unwrap();
    assert_eq!(row("tenants.quota_slack").value, "20");
    assert_eq!(row("tenants.quota_slack").origin, SettingOrigin::File);
    let cases = [
        ("5000\n", "10\n", "`tenants.revoke_within_ms` is below 1000"),
        (
            "= 0.1",
            "= 1.5",
            "`tenants.quota_overage` is not between 0 and 1",
        ),
        (
            "quota_window_ms = 5000",
            "quota_window_ms = 5",
            "`tenants.quota_window_ms` is below 100",
        ),
    ];
    for (valid, invalid, expected) in cases {
        let error = MeshSettings::parse(&text.replacen(valid, invalid, 1)).unwrap_err();
        assert!(error.to_string().contains(expected), "{error}");
    }
}
