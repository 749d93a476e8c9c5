//! Digests of the live members, kept up to date with each change, so that two tables are compared
//! with a few bytes.

use tallybridge_core::NodeId;
use tallybridge_wire::DIGEST_BUCKETS;
use xxhash_rust::xxh3::xxh3_64;

use crate::member::MemberRecord;

/// Bits of a hash that are below the bucket's number.
const BUCKET_SHIFT: u32 = u64::BITS - DIGEST_BUCKETS.ilog2();

/// Digest of an identity; the same on every node.
pub(crate) fn node_hash(node: NodeId) -> u64 {
    let mut bytes = [0; 26];
    match node.address.ip() {
        std::net::IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
        std::net::IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
    }
    bytes[16..18].copy_from_slice(&node.address.port().to_be_bytes());
    bytes[18..].copy_from_slice(&node.instance.0.to_be_bytes());
    xxh3_64(&bytes)
}

/// Lowest and highest hash of a bucket.
pub(crate) const fn bucket_range(bucket: usize) -> (u64, u64) {
    let first = (bucket as u64) << BUCKET_SHIFT;
    (first, first | (u64::MAX >> DIGEST_BUCKETS.ilog2()))
}

/// Digest of each bucket: the exclusive or of its members' digests. Suspicion is left out, since
/// it passes by itself.
#[derive(Debug, Clone)]
pub(crate) struct TableDigest {
    buckets: [u64; DIGEST_BUCKETS],
    whole: u64,
}

impl TableDigest {
    pub(crate) const fn new() -> Self {
        Self {
            buckets: [0; DIGEST_BUCKETS],
            whole: 0,
        }
    }

    /// Adds a live record, or takes it away when it was added before.
    pub(crate) fn toggle(&mut self, hash: u64, record: &MemberRecord) {
        let mut bytes = [0; 13];
        bytes[..8].copy_from_slice(&hash.to_be_bytes());
        bytes[8..12].copy_from_slice(&record.incarnation.0.to_be_bytes());
        bytes[12] = u8::from(record.leaving);
        let digest = xxh3_64(&bytes);
        self.buckets[(hash >> BUCKET_SHIFT) as usize] ^= digest;
        self.whole ^= digest;
    }

    /// Digest of all buckets.
    pub(crate) const fn whole(&self) -> u64 {
        self.whole
    }

    /// Digest of each bucket, cut to what is sent.
    pub(crate) fn buckets(&self) -> Vec<u32> {
        self.buckets.iter().map(|digest| *digest as u32).collect()
    }
}
