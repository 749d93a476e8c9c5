//! How many connections each listener accepts.

use nix::sys::resource::{Resource, getrlimit};

/// Descriptors that are assumed where the system does not say how many there are.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Callers get one in this many of the descriptors. The others are for links, the back end and the store.
const CALLER_DESCRIPTOR_DIVISOR: usize = 2;
/// Each other listener gets one in this many of the descriptors, within bounds.
const OTHER_DESCRIPTOR_DIVISOR: usize = 32;
const MIN_OTHER_CONNECTIONS: usize = 16;
const MAX_OTHER_CONNECTIONS: usize = 128;
/// The connections of callers may take one in this many of the memory.
const CALLER_MEMORY_DIVISOR: usize = 8;
/// Memory of a connection without a request.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Limits on the connections of clients, by listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// For callers.
    pub callers: usize,
    /// For each other listener, and for links before their hello.
    pub others: usize,
}

impl ConnectionLimits {
    /// Returns the limits of a process with this memory and this many descriptors.
    #[must_use]
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let by_descriptors = descriptors / CALLER_DESCRIPTOR_DIVISOR;
        let by_memory = memory_bytes / CALLER_MEMORY_DIVISOR / CONNECTION_BYTES;
        Self {
            callers: by_descriptors.min(by_memory),
            others: (descriptors / OTHER_DESCRIPTOR_DIVISOR)
                .clamp(MIN_OTHER_CONNECTIONS, MAX_OTHER_CONNECTIONS),
        }
    }

    /// Returns the limits of this process.
    pub(super) fn of_process(memory_bytes: usize) -> Self {
        let descriptors = match getrlimit(Resource::RLIMIT_NOFILE) {
            Ok((soft_limit, _)) => usize::try_from(soft_limit).unwrap_or(usize::MAX),
            Err(error) => {
                tracing::warn!(
                    %error,
                    assumed = DEFAULT_DESCRIPTORS,
                    "cannot read the limit of descriptors; assuming a usual one"
                );
                DEFAULT_DESCRIPTORS
            }
        };
        Self::new(memory_bytes, descriptors)
    }
}
