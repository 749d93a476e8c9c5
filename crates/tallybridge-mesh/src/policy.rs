//! Switches for the policies of a node.
//!
//! All policies are on by default. Turning one off selects the simplest behaviour instead.
//! Guarantees have no switch: complete answers, at most one execution of a call that must not run
//! twice, correct refusals, no new work for a leaving back end, and the retry ratio of the fleet.

use serde::Deserialize;

/// Policies that can be turned off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct PolicySettings {
    /// Refuses fresh requests at their entry while a service that they need is full. When off, all
    /// requests are admitted and refused at executors without a free slot.
    pub shed_at_entry: bool,
    /// Sheds requests by their cost at the full service. When off, requests are shed by priority
    /// only, and each route counts as needing every service further down its call chain.
    pub shed_by_cost: bool,
    /// Sheds urgent requests last and serves them first. When off, all requests are equal.
    pub order_by_priority: bool,
    /// Retries failed calls where that is allowed. When off, only calls that reached no back end
    /// are sent to another executor.
    #[serde(rename = "repeats")]
    pub retries: bool,
    /// Avoids back ends that fail more calls than others of their service. When off, failure rates
    /// are ignored.
    pub outliers_last: bool,
    /// Avoids back ends that take many times as long as the fastest one. When off, call times are
    /// ignored.
    pub slow_last: bool,
    /// Keeps calls in their zone while it has room. When off, zones are ignored.
    pub prefer_own_zone: bool,
    /// Uses fewer slots of a back end if it then completes more calls. When off, 95% of the slots
    /// are used.
    pub adapt_slots: bool,
    /// Reports a node that reaches hardly any peer as not ready to the platform. When off, a
    /// running node is ready.
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

/// A policy switch and its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySwitch {
    /// Name in the settings.
    pub name: &'static str,
    /// Whether the policy is on.
    pub is_on: bool,
}

impl PolicySettings {
    /// Returns all switches in the order of the settings.
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
