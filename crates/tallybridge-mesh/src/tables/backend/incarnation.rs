//! One start of the back end beside a node.

use std::sync::Arc;

/// One start of a back end. A back end may start again under the id that it had, so the id alone does not
/// say to which start a call was dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    id: Arc<str>,
    start: u64,
}

impl Incarnation {
    /// The start of an id that has this number; the node beside the back end counts them.
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
