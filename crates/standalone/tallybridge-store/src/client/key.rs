//! Which keys the protocol carries.

use super::error::StoreError;

/// Checks that a key consists of unreserved characters (RFC 3986, section 2.3) in segments parted
/// by single slashes, so that it goes into a path without any encoding.
///
/// # Errors
///
/// [`StoreError::InvalidKey`].
pub fn check_key(key: &str) -> Result<(), StoreError> {
    if key.split('/').all(is_segment) {
        Ok(())
    } else {
        Err(StoreError::InvalidKey {
            key: key.to_owned(),
        })
    }
}

/// Dot segments are left out since URL parsers resolve them away.
fn is_segment(segment: &str) -> bool {
    !segment.is_empty() && segment != "." && segment != ".." && segment.bytes().all(is_unreserved)
}

const fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}
