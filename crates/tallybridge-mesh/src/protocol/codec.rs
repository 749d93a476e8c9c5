//! Helpers that encode and decode the parts of a payload. `deku` defines the layout of fixed fields.

use bytes::{Buf, Bytes};
use deku::prelude::*;

pub(super) fn put_fields<T: DekuContainerWrite>(fields: &T, out: &mut Vec<u8>) {
    match fields.to_bytes() {
        Ok(bytes) => out.extend_from_slice(&bytes),
        // Unreachable while all fields are whole bytes.
        Err(error) => tracing::error!(%error, "cannot encode a message; the peer will reject it"),
    }
}

/// Removes fixed fields from the front of a payload; `None` if the payload is too short.
pub(super) fn take_fields<T>(payload: &mut Bytes) -> Option<T>
where
    T: for<'a> DekuContainerRead<'a>,
{
    let ((rest, _), fields) = T::from_bytes((payload, 0)).ok()?;
    let length = payload.len() - rest.len();
    payload.advance(length);
    Some(fields)
}

/// Removes `length` bytes from the front of a payload; `None` if the payload is too short.
pub(super) fn take_bytes(payload: &mut Bytes, length: usize) -> Option<Bytes> {
    (payload.len() >= length).then(|| payload.split_to(length))
}
