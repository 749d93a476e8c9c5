//! The envelope of a datagram, which holds the protocol version and a checksum of the payload.

use deku::prelude::*;

use super::Datagram;
use crate::PROTOCOL_VERSION;

/// Maximum size of a datagram, in bytes. Fits an Ethernet frame with IPv6 and UDP headers, so a
/// datagram is not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1400;

/// Size of the version and the CRC-32 before the payload, in bytes.
pub(super) const ENVELOPE_BYTES: usize = 5;

/// An error of encoding or decoding a datagram.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram size in bytes exceeds [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {0} bytes exceeds the limit of {MAX_DATAGRAM_BYTES} bytes")]
    TooLarge(usize),
    /// The datagram size in bytes is less than the size of the envelope.
    #[error("datagram of {0} bytes is shorter than its envelope")]
    TooShort(usize),
    /// The peer uses another protocol version, which is the value of the variant.
    #[error("peer uses protocol version {0}, but this node uses version {PROTOCOL_VERSION}")]
    Version(u8),
    /// The payload does not match the checksum in the envelope.
    #[error("datagram payload does not match its checksum")]
    Checksum,
    /// The datagram cannot be encoded, or the payload cannot be decoded.
    #[error("malformed datagram: {0}")]
    Malformed(String),
}

/// Encodes a datagram with its envelope.
///
/// # Errors
///
/// Returns [`DatagramError::TooLarge`] when the result exceeds [`MAX_DATAGRAM_BYTES`], and
/// [`DatagramError::Malformed`] when a field cannot be encoded.
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

/// Decodes a received datagram with its envelope.
///
/// # Errors
///
/// Returns a [`DatagramError`] when the bytes are not a complete, undamaged datagram of this protocol
/// version.
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
        let reason = format!("{} unexpected bytes at the end", rest.len());
        Err(DatagramError::Malformed(reason))
    }
}
