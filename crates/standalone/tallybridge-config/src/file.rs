//! A configuration file, as operators write it.

use serde::{Deserialize, Serialize};

use crate::{document::Document, mistake::Mistakes, read, template::Template, tenant::Tenant};

/// Templates and tenants in the order of the file.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigurationFile {
    /// The templates.
    #[serde(default, rename = "template", skip_serializing_if = "Vec::is_empty")]
    pub templates: Vec<Template>,
    /// The tenants.
    #[serde(default, rename = "tenant", skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

impl ConfigurationFile {
    /// Reads and checks a file. `file_name` is what the report calls it.
    ///
    /// # Errors
    ///
    /// [`Mistakes`] with everything that is wrong in the file.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, Mistakes> {
        read::read_configuration(file_name, text)
    }

    /// Reads and checks a file that need not be text.
    ///
    /// # Errors
    ///
    /// [`Mistakes`] with everything that is wrong in the file.
    pub fn parse_bytes(file_name: &str, bytes: &[u8]) -> Result<Self, Mistakes> {
        Self::parse(file_name, read::as_text(file_name, bytes)?)
    }

    /// The file as text, which [`parse`](Self::parse) reads back.
    ///
    /// # Panics
    ///
    /// Never: every value that a file can hold is one that TOML can.
    #[must_use]
    pub fn print(&self) -> String {
        toml::to_string(self).expect("templates and tenants are tables of plain values")
    }
}

impl From<&Document> for ConfigurationFile {
    fn from(document: &Document) -> Self {
        Self {
            templates: document.templates.values().cloned().collect(),
            tenants: document.tenants.values().cloned().collect(),
        }
    }
}
