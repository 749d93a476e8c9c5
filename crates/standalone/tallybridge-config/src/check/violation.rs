//! One broken rule.

use super::{Place, Rule};

/// A rule that settings, a configuration file or a document breaks.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{rule}: `{field}` is {given}; allowed: {allowed}")]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Where the value stands.
    pub place: Place,
    /// The field with its table and the table's name, as in `template[pay].deadline_ms`.
    pub field: String,
    /// What was given.
    pub given: String,
    /// What is allowed.
    pub allowed: String,
    /// What to do about it.
    pub mend: String,
    /// Other fields that the rule compared; a violation that follows from a field which is wrong
    /// by itself is left out.
    pub compared: Vec<Place>,
}
