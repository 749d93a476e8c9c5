//! Edits for the changes of the test authors.

use tallybridge_config::{Edit, Template};

/// Entry whose template has the template of entry 0 as its parent.
const CHILD_ENTRY: u8 = 3;

/// Entry number that selects the removal of the template of entry 0.
pub const REMOVAL: u8 = 4;

/// Returns an edit of one of a few templates. The deadline makes each edit unique.
pub fn edit(entry: u8, number: u32) -> Edit {
    if entry == REMOVAL {
        return Edit::RemoveTemplate("template-0".into());
    }
    let is_child = entry == CHILD_ENTRY;
    // Validation requires the deadline of a child to be below that of its parent.
    let deadline_ms = if is_child { 1_000 } else { 100_000 } + number;
    let template: Template = serde_json::from_value(serde_json::json!({
        "name": format!("template-{entry}"),
        "service": format!("service-{entry}"),
        "deadline_ms": deadline_ms,
        "parent": is_child.then_some("template-0"),
    }))
    .unwrap();
    Edit::PutTemplate(template)
}
