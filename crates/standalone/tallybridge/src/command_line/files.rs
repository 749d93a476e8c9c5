//! Reads files for commands.

use std::path::Path;

use tallybridge_config::ConfigurationFile;

use super::Failure;

/// The bytes of a file.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).map_err(|error| Failure::unreadable(path, &error))
}

/// A configuration file, read and checked.
pub fn read_configuration(path: &Path) -> Result<ConfigurationFile, Failure> {
    let bytes = read_bytes(path)?;
    let file = ConfigurationFile::parse_bytes(&path.to_string_lossy(), &bytes)?;
    Ok(file)
}
