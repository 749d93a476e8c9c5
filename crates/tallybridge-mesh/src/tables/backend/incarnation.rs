//! Identity of one incarnation of the back end beside a node.

use std::sync::Arc;

/// One incarnation of a back end. A back end may restart under the same id, so the id alone does not
/// identify the process that a call was dispatched to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    id: Arc<str>,
    number: u64,
}

impl Incarnation {
    /// Creates an incarnation of the back end `id`. The node beside the back end numbers the
    /// incarnations of all ids in the order in which it sees them.
    #[must_use]
    pub const fn new(id: Arc<str>, number: u64) -> Self {
        Self { id, number }
    }

    /// Returns the id of the back end, which several incarnations may share.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }
}
