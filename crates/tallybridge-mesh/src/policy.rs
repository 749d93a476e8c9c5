//! The switches of the policies by which a node decides.
//!
//! Each is on by default. One that is off leaves the simplest behaviour in its place, never a promise
//! without a guard: what keeps an answer complete, a call run once, a refusal true, a leaving back end
//! without new work or the fleet within its retry ratio has no switch. What each is worth stands in
//! [docs/DECISIONS.md](../../../docs/DECISIONS.md), by the names of the settings, which
//! [`PolicySettings::switches`] lists.

use serde::Deserialize;

/// Which policies are on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct PolicySettings {
    /// Fresh requests are refused at their entry while a service that they need is full. Off: all
    /// are admitted, and refused where there is no slot.
    pub shed_at_entry: bool,
    /// What is shed depends on what a request costs the full service. Off: on its priority alone,
    /// and a route needs every service below its own.
    pub shed_by_cost: bool,
    /// Urgent requests are shed last and served first. Off: all are treated alike.
    pub order_by_priority: bool,
    /// Calls that failed are retried where that is allowed. Off: only calls that no back end got are
    /// sent to another executor.
    #[serde(rename = "repeats")]
    pub retries: bool,
    /// Back ends that fail more calls than others of their service come last. Off: the least busy
    /// comes first, whatever becomes of its calls.
    pub outliers_last: bool,
    /// Back ends that take many times as long as the fastest come last. Off: the least busy comes
    /// first.
    pub slow_last: bool,
    /// Calls stay in their zone while it has room. Off: the least busy comes first, wherever it is.
    pub prefer_own_zone: bool,
    /// Fewer slots of a back end are used where it completes more calls with fewer. Off: always 95% of
    /// them.
    pub adapt_slots: bool,
    /// A node that reaches hardly any other reports to the platform that it is not ready. Off: it is
    /// ready while it runs.
    pub unready_when_isolated: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            shed_at_entry: true,
            shed_by_cost: true,
            order_by_priority: true,
            retries: true,
            outliers_last: true,
            slow_last: true,
            prefer_own_zone: true,
            adapt_slots: true,
            unready_when_isolated: true,
        }
    }
}

/// A switch, by its name in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySwitch {
    /// Its name.
    pub name: &'static str,
    /// Whether the policy is on.
    pub is_on: bool,
}

impl PolicySettings {
    /// All switches, in the order of the settings.
    #[must_use]
    pub fn switches(&self) -> [PolicySwitch; 9] {
        let switch = |name, is_on| PolicySwitch { name, is_on };
        [
            switch("shed_at_entry", self.shed_at_entry),
            switch("shed_by_cost", self.shed_by_cost),
            switch("order_by_priority", self.order_by_priority),
            switch("repeats", self.retries),
            switch("outliers_last", self.outliers_last),
            switch("slow_last", self.slow_last),
            switch("prefer_own_zone", self.prefer_own_zone),
            switch("adapt_slots", self.adapt_slots),
            switch("unready_when_isolated", self.unready_when_isolated),
        ]
    }
}
