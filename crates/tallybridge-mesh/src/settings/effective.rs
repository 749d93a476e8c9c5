//! Lists the effective settings: the values from the file, and the defaults of those that it omits.

use super::{MeshSettings, SettingsError};

/// The source of a setting's value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettingOrigin {
    /// The settings file sets the value.
    File,
    /// The settings file omits the setting.
    Default,
}

/// An effective setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingRow {
    /// Table and key in the settings file, for example `retry.ratio`.
    pub name: String,
    /// Value as text; `never` for a time limit that is not set.
    pub value: String,
    /// Unit of the value, for example `ms`.
    pub unit: &'static str,
    /// Whether the file or a default sets the value.
    pub origin: SettingOrigin,
}

impl MeshSettings {
    /// Returns the retry, tenant and policy settings that take effect with the settings file `text`.
    ///
    /// # Errors
    ///
    /// Returns a [`SettingsError`] that names the field, its line if known, and the correction.
    pub fn effective(text: &str) -> Result<Vec<SettingRow>, SettingsError> {
        let settings = Self::parse(text)?;
        let file: toml::Table =
            toml::from_str(text).map_err(|error| SettingsError::from_toml(&error))?;
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
            row(
                "retry",
                "ratio",
                retry.ratio.to_string(),
                "retries per call",
            ),
            row("retry", "window_ms", retry.window_ms.to_string(), "ms"),
            row("retry", "slack", retry.slack.to_string(), "retries"),
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
    let file_value = file.get(table).and_then(|table| table.get(name));
    file_value.map_or(SettingOrigin::Default, |_| SettingOrigin::File)
}
