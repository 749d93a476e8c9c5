//! Identifiers of nodes, services, tenants and attempts.

use std::{fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Declares a name type that is cheap to clone and distinct from other name types.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(value: &str) -> Self {
                Self(value.into())
            }
        }

        impl From<String> for $name {
            fn from(value: String) -> Self {
                Self(value.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// Name of a service: a set of interchangeable back ends.
    ServiceName
);
name_type!(
    /// Name of a tenant, whose parameters complete the templates.
    TenantName
);
name_type!(
    /// Name of a template, which defines how one kind of request is handled.
    TemplateName
);
name_type!(
    /// Name of a zone: machines that share a power supply and fail together.
    ZoneName
);
name_type!(
    /// Name of a region: a set of zones that are close to each other.
    RegionName
);

/// Identifier of one run of a node process. A process draws a new random identifier when it starts, so
/// a restarted process at the same address is distinguishable from its predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceId(pub u64);

impl InstanceId {
    /// Creates an identifier from the random number generator of the operating system.
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().as_u64_pair().0)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Identifier of a node: its peer address and the run of the process that listens there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// Address on which the node accepts peer connections (TCP) and probes (UDP).
    pub address: SocketAddr,
    /// Run of the process at the address.
    pub instance: InstanceId,
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.instance)
    }
}

/// Identifier of one attempt to run a call: the executing instance and a number that the instance never
/// reuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Run of the executing node.
    pub instance: InstanceId,
    /// Sequence number within that run, counted from 1.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:x}", self.instance, self.sequence)
    }
}
