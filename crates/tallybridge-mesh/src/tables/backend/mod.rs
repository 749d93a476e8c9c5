//! State of the back end beside this node:
//!
//! - `instance`: its identity, and whether it accepts work;
//! - `slots`: how many calls it gets at once, and the calls that wait for a slot;
//! - `slot_share`: the share of its slots that is used;
//! - `offered_load`: how much work arrives for it;
//! - `failures`: the share of its calls that fail;
//! - `announcement`, `announced_limit`: what it announces about itself in its answers;
//! - `earlier_notices`: what peers remember of that after a restart of this node.

mod announced_limit;
mod announcement;
mod earlier_notices;
mod failures;
mod incarnation;
mod instance;
mod offered_load;
pub mod slot_share;
pub mod slots;

pub use announced_limit::{AnnouncedLimit, LimitChange};
pub use announcement::{AnnouncedRate, Announcement};
pub use earlier_notices::EarlierNotices;
pub use failures::{FailureRate, FailureRateChange};
pub use incarnation::Incarnation;
pub use instance::{
    EndedIncarnation, HealthCheckEffect, InstanceState, LocalInstance, ReportEffect,
};
