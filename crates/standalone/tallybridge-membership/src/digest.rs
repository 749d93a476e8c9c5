//! Incremental digests of the live members, with which two nodes compare their tables in a few
//! bytes.

use tallybridge_core::NodeId;
use tallybridge_wire::DIGEST_BUCKETS;
use xxhash_rust::xxh3::xxh3_64;

use crate::member::MemberRecord;

/// Number of hash bits below the bucket index.
const BUCKET_SHIFT: u32 = u64::BITS - DIGEST_BUCKETS.ilog2();

/// Hashes a node identity; every node computes the same value.
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

/// Returns the lowest and the highest hash of a bucket.
pub(crate) const fn bucket_range(bucket: usize) -> (u64, u64) {
    let first = (bucket as u64) << BUCKET_SHIFT;
    (first, first | (u64::MAX >> DIGEST_BUCKETS.ilog2()))
}

/// Digest of each bucket: the XOR of its members' digests. The digests exclude suspicion, which is
/// temporary and ends in a refutation or a death.
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

    /// Adds a live record, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, hash: u64, record: &MemberRecord) {
        let mut bytes = [0; 13];
        bytes[..8].copy_from_slice(&hash.to_be_bytes());
        bytes[8..12].copy_from_slice(&record.incarnation.0.to_be_bytes());
        bytes[12] = u8::from(record.leaving);
        let digest = xxh3_64(&bytes);
        self.buckets[(hash >> BUCKET_SHIFT) as usize] ^= digest;
        self.whole ^= digest;
    }

    pub(crate) const fn whole(&self) -> u64 {
        self.whole
    }

    /// Returns the digest of each bucket, truncated to the 32 bits that are sent.
    pub(crate) fn buckets(&self) -> Vec<u32> {
        self.buckets.iter().map(|digest| *digest as u32).collect()
    }
}
