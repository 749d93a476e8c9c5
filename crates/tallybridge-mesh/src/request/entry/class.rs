//! In which order calls are served where they wait, and which have the first claim to retries.
//!
//! **Rule.** Urgent calls go first: those of requests whose route and tenant have the highest priority,
//! and the nested calls of these. Other nested calls come next. Of other fresh requests those of tenants
//! of the highest priority come before the rest, whatever their routes; where all tenants are alike,
//! those of routes of priority 0 and 1 do.
//!
//! **Inputs.** The priority of the route and the rank of the tenant, from the configuration in force;
//! what a nested call inherits from the call that makes it; the policy switch `order_by_priority`.
//!
//! **Output.** [`CallClass`]. Admission at the entry has weights of its own
//! ([`crate::tables::admission`]).
//!
//! **Why.** Payments are the last to be shed, and the work above a nested call is already paid for.
//! What the order is worth stands in docs/DECISIONS.md (`order_by_priority`), the rank of tenants is
//! weighed in docs/design/shifted-work.md.

use tallybridge_core::Criticality;

use crate::{
    configuration::{Route, tenants::TenantRank},
    tables::Parent,
};

/// Greatest priority number of routes that come first among fresh requests of equal tenants. Origin not
/// recorded.
const LAST_PREFERRED_PRIORITY: u8 = 1;

/// The class of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallClass {
    /// Whether the request at the root of its chain is of the highest priority.
    pub(super) is_urgent: bool,
    /// Its place in the queue of an executor.
    pub(super) criticality: Criticality,
}

impl CallClass {
    /// The class of a nested call of `parent`, or of a fresh request.
    pub(super) fn of(
        route: &Route,
        rank: TenantRank,
        parent: Option<Parent>,
        orders_by_priority: bool,
    ) -> Self {
        let is_first = route.priority == 0 && rank.higher_priorities == 0;
        let is_root_urgent = parent.map_or(is_first, |parent| parent.is_urgent);
        let is_urgent = is_root_urgent && orders_by_priority;
        let criticality = match (is_urgent, parent.is_some()) {
            (true, _) => Criticality::CriticalPlus,
            (false, true) => Criticality::Critical,
            (false, false) if is_preferred(route, rank) => Criticality::SheddablePlus,
            (false, false) => Criticality::Sheddable,
        };
        Self {
            is_urgent,
            criticality,
        }
    }
}

fn is_preferred(route: &Route, rank: TenantRank) -> bool {
    let are_tenants_alike = rank == TenantRank::default();
    if are_tenants_alike {
        route.priority <= LAST_PREFERRED_PRIORITY
    } else {
        rank.higher_priorities == 0
    }
}
