//! What an operator is told whose revision is no longer the newest.

use tallybridge_config::{Document, Edit, RevisionRecord, conflicts, difference};
use tallybridge_core::ErrorKind;

use crate::command_line::Failure;

/// The failure of an edit against an old revision: who changed what since then, which of the
/// operator's entries that touches, and the difference.
pub fn outdated(
    base: &Document,
    current: &Document,
    since: &[RevisionRecord],
    edits: &[Edit],
) -> Failure {
    let mut detail = format!(
        "revision {} is no longer the newest: revision {} is",
        base.revision, current.revision
    );
    for record in since {
        detail += &format!(
            "\nrevision {} by {}: {}",
            record.revision, record.author, record.comment
        );
    }
    let both = conflicts(base, current, edits);
    let both: Vec<_> = both.iter().map(ToString::to_string).collect();
    if both.is_empty() {
        detail += "\nnone of the entries that you change has changed since";
    } else {
        detail += &format!("\nchanged since and by you: {}", both.join(", "));
    }
    Failure::new(ErrorKind::Conflict, detail).with_attachment(difference(base, current))
}
