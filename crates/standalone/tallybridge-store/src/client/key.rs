//! Validation of store keys.

use super::error::StoreError;

/// Checks that a key consists of non-empty segments of unreserved characters (RFC 3986, section
/// 2.3), separated by slashes. Such a key needs no encoding in a URL path.
///
/// # Errors
///
/// [`StoreError::InvalidKey`] for any other key.
pub fn check_key(key: &str) -> Result<(), StoreError> {
    if key.split('/').all(is_valid_segment) {
        Ok(())
    } else {
        Err(StoreError::InvalidKey {
            key: key.to_owned(),
        })
    }
}

/// Rejects dot segments because URL parsers remove them.
fn is_valid_segment(segment: &str) -> bool {
    !segment.is_empty() && segment != "." && segment != ".." && segment.bytes().all(is_unreserved)
}

const fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}
