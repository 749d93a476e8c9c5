//! The key that identifies one request over all attempts to run it.

use std::fmt;

use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

/// Identity of a request, shared by every attempt of it wherever the attempt entered.
///
/// A root call's key is its `Idempotency-Key` (a UUIDv7, RFC 9562 section 5.7) or one that the
/// entry node draws. A nested call's key is derived from its parent's, so a parent that runs again
/// makes nested calls with the same keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// When the root's key was made: milliseconds since the Unix epoch, by its maker's clock.
    pub issued_unix_ms: u64,
    /// The bits that tell keys of one millisecond apart.
    pub digest: u128,
}

impl RequestKey {
    /// Draws a new key dated now.
    #[must_use]
    pub fn generate() -> Self {
        Self::from_uuid(Uuid::now_v7()).expect("a fresh UUIDv7 has version 7")
    }

    /// The key of a UUIDv7, or `None` when the UUID is of another version and so has no date.
    #[must_use]
    pub fn from_uuid(uuid: Uuid) -> Option<Self> {
        const VERSION_7: usize = 7;
        const TIMESTAMP_SHIFT: u32 = 80;
        if uuid.get_version_num() != VERSION_7 {
            return None;
        }
        let bits = uuid.as_u128();
        Some(Self {
            issued_unix_ms: u64::try_from(bits >> TIMESTAMP_SHIFT).expect("48 bits fit"),
            digest: bits,
        })
    }

    /// The key of a nested call.
    ///
    /// `explicit_key` is the nested call's own `Idempotency-Key`, if it has one; otherwise method,
    /// path and body tell the parent's nested calls apart.
    #[must_use]
    pub fn nested(&self, service: &str, explicit_key: Option<&str>, call: &NestedCall<'_>) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&self.digest.to_be_bytes());
        update_with_field(&mut hasher, service.as_bytes());
        if let Some(explicit_key) = explicit_key {
            update_with_field(&mut hasher, b"key");
            update_with_field(&mut hasher, explicit_key.as_bytes());
        } else {
            update_with_field(&mut hasher, b"call");
            update_with_field(&mut hasher, call.method.as_bytes());
            update_with_field(&mut hasher, call.path.as_bytes());
            update_with_field(&mut hasher, call.body);
        }
        Self {
            issued_unix_ms: self.issued_unix_ms,
            digest: hasher.digest128(),
        }
    }
}

/// What tells a nested call without its own key from its siblings.
#[derive(Debug, Clone, Copy)]
pub struct NestedCall<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

/// Adds a field with its length, so that two fields never run into each other.
fn update_with_field(hasher: &mut Xxh3, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_be_bytes());
    hasher.update(field);
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{:012x}-{:032x}",
            self.issued_unix_ms, self.digest
        )
    }
}
