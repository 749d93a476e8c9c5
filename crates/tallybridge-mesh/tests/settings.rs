//! Settings that can't be used are refused by field, line and mend.

use tallybridge_mesh::{MeshSettings, PolicySettings, SettingOrigin};

const SOUND: &str = r#"
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
unknown_field = "passed over"

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
fn sound_settings_are_read_and_unknown_fields_passed_over() {
    let settings = MeshSettings::parse(SOUND).unwrap();
    assert_eq!(settings.backend.service, "ledger");
    assert!(settings.fixed_differences(&settings).is_empty());
    assert!(
        !settings.new_fleet,
        "a fleet runs already, unless it is said"
    );
    let first = SOUND.replace("stop_grace_ms", "new_fleet = true\nstop_grace_ms");
    let first = MeshSettings::parse(&first).unwrap();
    assert!(first.new_fleet);
}

#[test]
fn wrong_settings_name_the_field_and_the_mend() {
    let wrong = [
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
    for (sound, mistaken, expected) in wrong {
        let text = SOUND.replacen(sound, mistaken, 1);
        let error = MeshSettings::parse(&text).unwrap_err();
        assert!(
            error.detail.contains(expected),
            "{expected}: {}",
            error.detail
        );
        assert!(!error.mend.is_empty());
    }
}

#[test]
fn what_only_a_start_can_take_in_is_named() {
    let settings = MeshSettings::parse(SOUND).unwrap();
    let changed = SOUND
        .replace("zone = \"a\"", "zone = \"b\"")
        .replace("ratio = 0.2", "ratio = 0.1");
    let changed = MeshSettings::parse(&changed).unwrap();
    assert_eq!(settings.fixed_differences(&changed), ["zone"]);
}

#[test]
fn policies_are_on_unless_a_switch_is_given() {
    let settings = MeshSettings::parse(SOUND).unwrap();
    assert_eq!(settings.policy, PolicySettings::default());
    assert!(settings.policy.switches().iter().all(|switch| switch.is_on));
    let text = format!("{SOUND}\n[policy]\nrepeats = false\n");
    let other = MeshSettings::parse(&text).unwrap();
    assert!(!other.policy.retries && other.policy.shed_at_entry);
    assert_eq!(settings.fixed_differences(&other), ["policy"]);
    let rows = MeshSettings::effective(&text).unwrap();
    let row = |name: &str| rows.iter().find(|row| row.name == name).unwrap();
    let switched = row("policy.repeats");
    assert_eq!(
        (&*switched.value, switched.origin),
        ("false", SettingOrigin::File)
    );
    let usual = row("policy.shed_at_entry");
    assert_eq!(
        (&*usual.value, usual.origin),
        ("true", SettingOrigin::Default)
    );
    assert_eq!(row("retry.ratio").origin, SettingOrigin::File);
    let wrong = format!("{SOUND}\n[policy]\nrepeats = \"no\"\n");
    let error = MeshSettings::parse(&wrong).unwrap_err();
    assert!(error.to_string().contains("repeats"), "{error}");
}

#[test]
fn what_holds_for_tenants_is_read_and_checked() {
    let usual = MeshSettings::parse(SOUND).unwrap();
    assert_eq!(usual.tenants.revoke_within_ms, None);
    let given =
        "revoke_within_ms = 5000\nquota_window_ms = 5000\nquota_overage = 0.1\nquota_slack = 20";
    let text = format!("{SOUND}\n[tenants]\n{given}\n");
    let settings = MeshSettings::parse(&text).unwrap();
    assert_eq!(settings.tenants.revoke_within_ms, Some(5000));
    assert_eq!(usual.fixed_differences(&settings), ["tenants"]);
    let rows = MeshSettings::effective(&text).unwrap();
    let row = |name: &str| rows.iter().find(|row| row.name == name).unwrap();
    assert_eq!(row("tenants.quota_slack").value, "20");
    assert_eq!(row("tenants.quota_slack").origin, SettingOrigin::File);
    let wrong = [
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
    for (sound, replaced, expected) in wrong {
        let error = MeshSettings::parse(&text.replacen(sound, replaced, 1)).unwrap_err();
        assert!(error.to_string().contains(expected), "{error}");
    }
}
