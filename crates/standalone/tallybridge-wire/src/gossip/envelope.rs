//! The envelope of a datagram: version and checksum.

use deku::prelude::*;

use super::Datagram;
use crate::PROTOCOL_VERSION;

/// Largest datagram, in bytes: fits an Ethernet frame with IPv6 and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Version and CRC-32 in front of the payload, in bytes.
pub(super) const ENVELOPE_BYTES: usize = 5;

/// A datagram can't be sent or read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {0} bytes is above the limit of {MAX_DATAGRAM_BYTES}")]
    TooLarge(usize),
    /// Shorter than its envelope.
    #[error("datagram of {0} bytes is cut off")]
    TooShort(usize),
    /// The peer speaks another version.
    #[error("peer speaks protocol version {0}, this node speaks {PROTOCOL_VERSION}")]
    Version(u8),
    /// The payload was damaged on its way.
    #[error("datagram checksum does not match")]
    Checksum,
    /// The payload is not a datagram.
    #[error("malformed datagram: {0}")]
    Malformed(String),
}

/// The bytes of a datagram.
///
/// # Errors
///
/// [`DatagramError::TooLarge`] above [`MAX_DATAGRAM_BYTES`].
pub fn encode_datagram(datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
    let payload = datagram
        .to_bytes()
        .map_err(|error| DatagramError::Malformed(error.to_string()))?;
    let length = ENVELOPE_BYTES + payload.len();
    if length > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge(length));
    }
    let mut bytes = Vec::with_capacity(length);
    bytes.push(PROTOCOL_VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_be_bytes());
    bytes.extend_from_slice(&payload);
    Ok(bytes)
}

/// Reads the bytes of a datagram.
///
/// # Errors
///
/// [`DatagramError`] when the bytes are not a whole, undamaged datagram of this version.
pub fn decode_datagram(bytes: &[u8]) -> Result<Datagram, DatagramError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge(bytes.len()));
    }
    let Some((envelope, payload)) = bytes.split_first_chunk::<ENVELOPE_BYTES>() else {
        return Err(DatagramError::TooShort(bytes.len()));
    };
    let [version, checksum @ ..] = *envelope;
    if version != PROTOCOL_VERSION {
        return Err(DatagramError::Version(version));
    }
    if crc32fast::hash(payload) != u32::from_be_bytes(checksum) {
        return Err(DatagramError::Checksum);
    }
    let ((rest, _), datagram) = Datagram::from_bytes((payload, 0))
        .map_err(|error| DatagramError::Malformed(error.to_string()))?;
    if rest.is_empty() {
        Ok(datagram)
    } else {
        let reason = format!("{} bytes too many", rest.len());
        Err(DatagramError::Malformed(reason))
    }
}
