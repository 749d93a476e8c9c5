//! Calls that run at the back end beside this node, so that their nested calls are known as such.

use std::collections::HashMap;

use bytes::Bytes;

/// What a nested call inherits from the call that makes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parent {
    /// Whether the request at the root of the chain is of the highest priority.
    pub is_urgent: bool,
}

/// Running calls, by the name of their attempt.
///
/// Back ends name a nested call after the one that makes it: the parent's name, a separator, a
/// part of its own. A call whose name extends that of none that runs here is a fresh request.
#[derive(Debug, Default)]
pub struct RunningAttempts(HashMap<Bytes, (Parent, u32)>);

impl RunningAttempts {
    /// A call begins to run.
    pub fn begin(&mut self, attempt: &Bytes, parent: Parent) {
        let entry = self.0.entry(attempt.clone()).or_insert((parent, 0));
        entry.1 += 1;
    }

    /// A call has ended.
    pub fn end(&mut self, attempt: &Bytes) {
        let Some(entry) = self.0.get_mut(attempt) else {
            return;
        };
        entry.1 -= 1;
        if entry.1 == 0 {
            self.0.remove(attempt);
        }
    }

    /// The running call that made the one of this name.
    #[must_use]
    pub fn parent_of(&self, attempt: &[u8]) -> Option<Parent> {
        let is_separator = |byte: &u8| !byte.is_ascii_alphanumeric();
        let mut name = attempt;
        while let Some(end) = name.iter().rposition(is_separator) {
            name = &name[..end];
            if let Some((parent, _)) = self.0.get(name) {
                return Some(*parent);
            }
        }
        None
    }
}
