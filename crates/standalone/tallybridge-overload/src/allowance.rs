//! The retry allowance that travels with a request.

/// Retries that are left to one request, or to the part of it that this call stands for.
///
/// A root call gets R. A nested call is lent a part of what its parent has left, and what it did
/// not use returns with its answer; what is lent and lost with a lost answer counts as spent. The
/// sum of all allowances of a request never grows, so all of its retries together are at most R,
/// and no position in its call graph runs more than 1 + R times.
///
/// How much to lend was weighed. *All that is left* lets the deepest call use the whole allowance,
/// but one lost answer spends it. *An equal part for each nested call* needs their number, which
/// nobody knows beforehand. *Half, rounded up* leaves the parent something to retry with after a
/// lost answer, and a call at any depth of a chain still gets one retry; it was taken. Calls that
/// are nested in parallel share by halves in the order of their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Allowance {
    remaining: u8,
}

impl Allowance {
    /// The allowance of a root call with `retries` retries, or of a call that was lent so many.
    #[must_use]
    pub fn root(retries: u8) -> Self {
        Self { remaining: retries }
    }

    /// Retries that are left.
    #[must_use]
    pub fn remaining(self) -> u8 {
        self.remaining
    }

    /// Lends a part to a nested call: half of what is left, rounded up.
    #[must_use = "what is lent is gone unless it is given back"]
    pub fn lend(&mut self) -> u8 {
        let lent = self.remaining.div_ceil(2);
        self.remaining -= lent;
        lent
    }

    /// Takes back what a nested call did not use of what it was `lent`.
    ///
    /// `unused` comes from another process. A count above `lent` cannot be true and says nothing
    /// about what was spent, so all that was lent counts as spent then. Call it at most once for
    /// each [`lend`](Self::lend).
    pub fn give_back(&mut self, unused: u8, lent: u8) {
        if unused <= lent {
            self.remaining = self.remaining.saturating_add(unused);
        }
    }

    /// Pays for one retry; `false` when nothing is left.
    #[must_use = "a retry may run only if it was paid for"]
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.remaining.checked_sub(1) else {
            return false;
        };
        self.remaining = left;
        true
    }
}
