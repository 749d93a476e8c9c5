//! The settings by which a node treats calls, as they are in force with their defaults.

use super::{MeshSettings, SettingsError};

/// Where the value of a setting comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingOrigin {
    /// The settings file gives it.
    File,
    /// The file leaves it out.
    Default,
}

/// A setting as it is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingRow {
    /// Its table and name.
    pub name: String,
    /// Its value.
    pub value: String,
    /// Unit of the value.
    pub unit: &'static str,
    /// Where it comes from.
    pub origin: SettingOrigin,
}

impl MeshSettings {
    /// The settings that decide how the node treats calls, those of `text` with their defaults.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] naming the field, the line and the mend.
    pub fn effective(text: &str) -> Result<Vec<SettingRow>, SettingsError> {
        let settings = Self::parse(text)?;
        let file: toml::Table =
            toml::from_str(text).map_err(|error| SettingsError::unreadable(&error))?;
        let row = |table: &str, name: &str, value: String, unit| SettingRow {
            name: format!("{table}.{name}"),
            value,
            unit,
            origin: origin(&file, table, name),
        };
        let retry = settings.retry;
        let tenants = settings.tenants;
        let revoke_within_ms = tenants.revoke_within_ms;
        let revoke_within_ms = revoke_within_ms.map_or("never".to_owned(), |ms| ms.to_string());
        let quota_window_ms = tenants.quota_window_ms.to_string();
        let quota_overage = tenants.quota_overage.to_string();
        let quota_slack = tenants.quota_slack.to_string();
        let mut rows = vec![
            row("retry", "ratio", retry.ratio.to_string(), "repeats a call"),
            row("retry", "window_ms", retry.window_ms.to_string(), "ms"),
            row("retry", "slack", retry.slack.to_string(), "repeats"),
            row("tenants", "revoke_within_ms", revoke_within_ms, "ms"),
            row("tenants", "quota_window_ms", quota_window_ms, "ms"),
            row("tenants", "quota_overage", quota_overage, "of the limit"),
            row("tenants", "quota_slack", quota_slack, "requests"),
        ];
        let switches = settings.policy.switches().into_iter();
        rows.extend(switches.map(|switch| {
            let value = switch.is_on.to_string();
            row("policy", switch.name, value, "on")
        }));
        Ok(rows)
    }
}

fn origin(file: &toml::Table, table: &str, name: &str) -> SettingOrigin {
    let given = file.get(table).and_then(|table| table.get(name));
    given.map_or(SettingOrigin::Default, |_| SettingOrigin::File)
}
