//! What is right is read.

use tallybridge_config::ConfigurationFile;

use super::support::GOOD;

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
fn templates_of_one_path_may_split_the_methods() {
    let split = "[[template]]\nname = \"ledger-get\"\nservice = \"ledger\"\nmethods = [\"GET\"]\n";
    let file = ConfigurationFile::parse("fleet.toml", &format!("{GOOD}\n{split}"));
    assert_eq!(file.expect("POST and GET differ").templates.len(), 3);
}
