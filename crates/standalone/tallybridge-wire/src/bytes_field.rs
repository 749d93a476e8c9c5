//! Writing of byte fields in deku structures.

use std::io::{Seek, Write};

use deku::{DekuError, writer::Writer};

/// Writes all bytes in one call. The default writer of deku writes a vector element by element.
pub(crate) fn write_bytes<W: Write + Seek>(
    writer: &mut Writer<W>,
    bytes: &[u8],
) -> Result<(), DekuError> {
    writer.write_bytes(bytes)
}
