//! Fields of raw bytes.

use std::io::{Seek, Write};

use deku::{DekuError, writer::Writer};

/// Writes a field of bytes as a whole; deku's own way writes a vector element by element.
pub(crate) fn write_bytes<W: Write + Seek>(
    writer: &mut Writer<W>,
    bytes: &[u8],
) -> Result<(), DekuError> {
    writer.write_bytes(bytes)
}
