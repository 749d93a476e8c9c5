//! What a file holds.

use std::fmt;

use toml::de::DeTable;

/// Top-level tables that only a configuration file has.
const CONFIGURATION_TABLES: [&str; 2] = ["template", "tenant"];
/// Fields that every settings file has, at least one of them when flags give the others.
const SETTINGS_FIELDS: [&str; 7] = [
    "peer_address",
    "caller_address",
    "admin_address",
    "region",
    "zone",
    "store",
    "backend",
];

/// The kinds of files that are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// A node's settings.
    Settings,
    /// Templates and tenants.
    Configuration,
}

impl FileKind {
    /// The kind that a file's top-level keys show, or `None` when they show none or both. The file
    /// may have mistakes.
    #[must_use]
    pub fn detect(text: &str) -> Option<Self> {
        let (table, _) = DeTable::parse_recoverable(text);
        let has = |key: &&str| table.get_ref().contains_key(*key);
        let is_configuration = CONFIGURATION_TABLES.iter().any(has);
        let is_settings = SETTINGS_FIELDS.iter().any(has);
        match (is_configuration, is_settings) {
            (true, false) => Some(Self::Configuration),
            (false, true) => Some(Self::Settings),
            _ => None,
        }
    }
}

impl fmt::Display for FileKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Settings => "settings",
            Self::Configuration => "configuration",
        })
    }
}
