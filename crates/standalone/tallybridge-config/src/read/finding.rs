//! A broken rule with its place in the file.

use std::ops::Range;

use super::source::origin;
use crate::{
    check::Violation,
    mistake::{Mistake, Origin},
};

/// A violation and where its value stands.
pub struct Finding {
    /// The broken rule.
    pub violation: Violation,
    /// Where the value stands in the file; `None` when a flag gave it.
    pub span: Option<Range<usize>>,
}

impl Finding {
    /// The finding as a report shows it.
    pub fn into_mistake(self, file_name: &str, text: &str) -> Mistake {
        let origin = match self.span {
            Some(span) => origin(text, span),
            None => Origin::Flag,
        };
        Mistake {
            rule: self.violation.rule,
            file: file_name.to_owned(),
            origin,
            field: self.violation.field,
            given: self.violation.given,
            allowed: self.violation.allowed,
            mend: self.violation.mend,
        }
    }
}
