//! Files of a run: settings, logs and execution logs, in a directory of its own.

use std::{
    ffi::OsString,
    path::{Path, PathBuf},
};

use serde::Serialize;

use super::ProcessError;

/// Writes settings as JSON.
///
/// # Errors
///
/// The file can't be written.
pub fn write_json(path: &Path, settings: &impl Serialize) -> Result<(), ProcessError> {
    let text = serde_json::to_vec_pretty(settings).map_err(|error| ProcessError::Settings {
        name: path.display().to_string(),
        message: error.to_string(),
    })?;
    std::fs::write(path, text).map_err(ProcessError::io(format!("write {}", path.display())))
}

/// Writes settings as TOML.
///
/// # Errors
///
/// The file can't be written.
pub fn write_toml(path: &Path, settings: &impl Serialize) -> Result<(), ProcessError> {
    let text = toml::to_string(settings).map_err(|error| ProcessError::Settings {
        name: path.display().to_string(),
        message: error.to_string(),
    })?;
    std::fs::write(path, text).map_err(ProcessError::io(format!("write {}", path.display())))
}

/// Arguments of a command followed by a settings file.
#[must_use]
pub fn with_settings(command: &[&str], settings: &Path) -> Vec<OsString> {
    command
        .iter()
        .map(OsString::from)
        .chain([OsString::from("--settings"), settings.into()])
        .collect()
}

/// Arguments that run the tallybridge program as a node.
#[must_use]
pub fn node_command(settings: &Path) -> Vec<OsString> {
    vec!["exec".into(), "node".into(), settings.into()]
}

/// Path of a process's file in the directory of a run.
#[must_use]
pub fn file(directory: &Path, name: &str, suffix: &str) -> PathBuf {
    directory.join(format!("{name}.{suffix}"))
}
