//! Identities of nodes, services, tenants and attempts.

use std::{fmt, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Declares a cheaply cloned name that is told apart from other names by its type.
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
    /// Name of a tenant, whose parameters fill in the templates.
    TenantName
);
name_type!(
    /// Name of a template, which says how one kind of request is treated.
    TemplateName
);
name_type!(
    /// Name of a zone: machines that fail together when a hall loses power.
    ZoneName
);
name_type!(
    /// Name of a region: a set of zones near each other.
    RegionName
);

/// One run of one node process. Drawn at random when the process starts, so a process that comes
/// back at the same address is told apart from the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct InstanceId(pub u64);

impl InstanceId {
    /// Draws a new identity from the system's random source.
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

/// A node: its peer address together with the run of the process that listens there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// Address on which the node takes peer connections (TCP) and probes (UDP).
    pub address: SocketAddr,
    /// The run of the process.
    pub instance: InstanceId,
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.address, self.instance)
    }
}

/// One attempt to run a call: the instance that executes it and a number never reused by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The executing node's run.
    pub instance: InstanceId,
    /// Counts up from 1 within that run.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{:x}", self.instance, self.sequence)
    }
}
