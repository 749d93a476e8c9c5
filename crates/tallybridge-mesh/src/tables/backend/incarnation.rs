//! One start of the back end beside a node.

use std::sync::Arc;

/// One start of a back end. A back end may start again under the id that it had, so the id alone
/// does not tell whom a call was handed to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    id: Arc<str>,
    start: u64,
}

impl Incarnation {
    /// The start of this number, counted by the node beside the back end, of an id.
    #[must_use]
    pub const fn new(id: Arc<str>, start: u64) -> Self {
        Self { id, start }
    }

    /// The id, which an earlier or later start may have as well.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }
}
