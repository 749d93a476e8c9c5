//! Loading of a scenario by name or path.

use std::path::{Path, PathBuf};

use miette::{NamedSource, SourceSpan};
use tallybridge_config::ConfigurationFile;

use super::{
    LoadError, Scenario, SyntaxError,
    shipped::{shipped_configuration, shipped_scenario},
};

/// Field by which a scenario takes over all fields of another that it doesn't give itself.
const BASE: &str = "base";

impl Scenario {
    /// Loads and checks a shipped scenario by name, or else a scenario file by path.
    ///
    /// # Errors
    ///
    /// [`LoadError`] when a file can't be read or has mistakes.
    pub fn load(name_or_path: &str) -> Result<Self, LoadError> {
        match shipped_scenario(name_or_path) {
            Some(text) => Self::from_text(name_or_path, text, &PathBuf::new()),
            None => {
                let path = Path::new(name_or_path);
                let directory = path.parent().unwrap_or(path);
                Self::from_text(name_or_path, &read(path)?, directory)
            }
        }
    }

    /// Loads and checks a scenario from the text of its file. Other files that it names are looked
    /// for in the directory, then among those that ship.
    ///
    /// # Errors
    ///
    /// [`LoadError`] when a file can't be read or has mistakes.
    pub fn from_text(path: &str, text: &str, directory: &Path) -> Result<Self, LoadError> {
        let mut scenario = parse(path, text, directory)?;
        let file_name = scenario.configuration_file.clone();
        let configuration = match shipped_configuration(&file_name) {
            Some(text) if !directory.join(&file_name).exists() => text.to_owned(),
            _ => read(&directory.join(&file_name))?,
        };
        scenario.configuration = ConfigurationFile::parse(&file_name, &configuration)
            .map_err(|mistakes| LoadError::Configuration(Box::new(mistakes)))?;
        let mistakes = scenario.mistakes();
        if mistakes.is_empty() {
            return Ok(scenario);
        }
        Err(LoadError::Mistakes {
            path: path.to_owned(),
            mistakes,
        })
    }
}

fn read(path: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(path).map_err(|source| LoadError::Read {
        path: path.display().to_string(),
        source,
    })
}

fn parse(path: &str, text: &str, directory: &Path) -> Result<Scenario, LoadError> {
    let syntax = |error: toml::de::Error| {
        LoadError::Syntax(Box::new(SyntaxError {
            message: error.message().to_owned(),
            text: NamedSource::new(path, text.to_owned()),
            span: error.span().map(SourceSpan::from),
        }))
    };
    let mut table: toml::Table = toml::from_str(text).map_err(syntax)?;
    let Some(base) = table.remove(BASE) else {
        // Read from the text, so that a mistake is shown where it is.
        return toml::from_str(text).map_err(syntax);
    };
    let base_name = base.as_str().unwrap_or_default();
    let base_text = match shipped_scenario(base_name) {
        Some(text) => text.to_owned(),
        None => read(&directory.join(base_name))?,
    };
    let mut merged: toml::Table = toml::from_str(&base_text).map_err(syntax)?;
    merged.extend(table);
    Scenario::deserialize_table(merged).map_err(syntax)
}

impl Scenario {
    fn deserialize_table(table: toml::Table) -> Result<Self, toml::de::Error> {
        serde::Deserialize::deserialize(table)
    }
}
