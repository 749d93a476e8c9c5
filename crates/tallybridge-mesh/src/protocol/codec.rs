//! Reading and writing the fixed fields of a payload. Relies on `deku` for the fields themselves.

use bytes::{Buf, Bytes};
use deku::prelude::*;

/// Appends fixed fields to a payload.
pub(super) fn put_fields<T: DekuContainerWrite>(fields: &T, out: &mut Vec<u8>) {
    match fields.to_bytes() {
        Ok(bytes) => out.extend_from_slice(&bytes),
        // Can't happen with fields of whole bytes. The receiver refuses the frame as malformed.
        Err(error) => tracing::error!(%error, "fields of a message can't be encoded"),
    }
}

/// Takes fixed fields off the front of a payload; `None` if it is too short.
pub(super) fn take_fields<T>(payload: &mut Bytes) -> Option<T>
where
    T: for<'a> DekuContainerRead<'a>,
{
    let ((rest, _), fields) = T::from_bytes((payload, 0)).ok()?;
    let length = payload.len() - rest.len();
    payload.advance(length);
    Some(fields)
}

/// Takes so many bytes off the front of a payload; `None` if it is too short.
pub(super) fn take_bytes(payload: &mut Bytes, length: usize) -> Option<Bytes> {
    (payload.len() >= length).then(|| payload.split_to(length))
}
