//! Priority classes of calls, which order the queues of executors and the use of retry budgets.
//!
//! A call is urgent if its request's route and tenant both have the highest priority; its nested
//! calls inherit that. Urgent calls come first and other nested calls second, because the work that
//! made a nested call is wasted if the nested call fails. Other fresh requests rank by their
//! tenants, or by their routes if all tenants have the same priority. No call is urgent if the
//! setting `order_by_priority` is off.
//!
//! [`crate::tables::admission`] decides separately which requests the entry sheds.

use tallybridge_core::Criticality;

use crate::{
    configuration::{Route, tenants::TenantRank},
    tables::Parent,
};

/// Largest priority number of preferred routes; 0 is the most important priority.
const MAX_PREFERRED_PRIORITY: u8 = 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallClass {
    /// Whether the fresh request at the root of the call chain has the highest priority.
    pub(super) is_urgent: bool,
    /// Rank in the queue of an executor.
    pub(super) criticality: Criticality,
}

impl CallClass {
    /// Classifies a nested call of `parent`, or a fresh request if there is no parent.
    pub(super) fn new(
        route: &Route,
        rank: TenantRank,
        parent: Option<Parent>,
        orders_by_priority: bool,
    ) -> Self {
        let has_top_priority = route.priority == 0 && rank.higher_priorities == 0;
        let is_root_urgent = parent.map_or(has_top_priority, |parent| parent.is_urgent);
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
    let tenants_have_equal_priority = rank == TenantRank::default();
    if tenants_have_equal_priority {
        route.priority <= MAX_PREFERRED_PRIORITY
    } else {
        rank.higher_priorities == 0
    }
}
