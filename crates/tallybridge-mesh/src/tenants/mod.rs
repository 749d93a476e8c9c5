//! Tenants: whose request a key makes, and how much each tenant may ask of the whole fleet.
//!
//! A request carries a key unless its route is public or a back end makes it for a call that runs.
//! Keys are looked up by digest and go no further than the entry: back ends, peers and logs see the
//! tenant's name. How limits are shared by the nodes is in [`quota`]; why so, in
//! [docs/design/quotas.md](../../../../docs/design/quotas.md).

mod directory;
pub mod quota;

pub use self::directory::{KeyDigest, RateLimit, Tenant, TenantDirectory, TenantError, TenantRank};
