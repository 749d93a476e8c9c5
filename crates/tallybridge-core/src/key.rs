//! Key that identifies a request across all attempts to run it.

use std::fmt;

use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

/// Key of a request, shared by all its attempts regardless of their entry.
///
/// The key of a root call is its `Idempotency-Key` (a UUIDv7, RFC 9562, section 5.7) or a key that the
/// entry generates. The key of a nested call is derived from the key of its parent, so a parent that
/// runs again makes nested calls with the same keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Creation time of the root call's key, in milliseconds since the Unix epoch.
    pub issued_unix_ms: u64,
    /// Distinguishes keys with the same creation time.
    pub digest: u128,
}

impl RequestKey {
    /// Generates a new random key with the current time.
    #[must_use]
    pub fn generate() -> Self {
        Self::from_uuid(Uuid::now_v7()).expect("a new UUIDv7 has version 7")
    }

    /// Returns the key of a UUIDv7, or `None` if the UUID has another version and thus no timestamp.
    #[must_use]
    pub fn from_uuid(uuid: Uuid) -> Option<Self> {
        const VERSION_7: usize = 7;
        const TIMESTAMP_SHIFT: u32 = 80;
        if uuid.get_version_num() != VERSION_7 {
            return None;
        }
        let bits = uuid.as_u128();
        Some(Self {
            issued_unix_ms: u64::try_from(bits >> TIMESTAMP_SHIFT)
                .expect("a 48-bit timestamp fits into u64"),
            digest: bits,
        })
    }

    /// Derives the key of a nested call.
    ///
    /// `explicit_key` is the `Idempotency-Key` of the nested call, if present. Without one, the method,
    /// path and body distinguish the nested calls of the same parent.
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

/// Properties that distinguish a nested call without its own key from its siblings.
#[derive(Debug, Clone, Copy)]
pub struct NestedCall<'a> {
    /// HTTP method, case-sensitive.
    pub method: &'a str,
    /// Path and query of the nested call.
    pub path: &'a str,
    /// Complete body of the nested call.
    pub body: &'a [u8],
}

/// Hashes a field together with its length, so that different sequences of fields never hash the same
/// bytes.
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
