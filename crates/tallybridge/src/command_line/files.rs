//! Reads files for commands.

use std::path::Path;

use super::Failure;

/// The bytes of a file.
pub fn read_bytes(path: &Path) -> Result<Vec<u8>, Failure> {
    std::fs::read(path).map_err(|error| Failure::unreadable(path, &error))
}
