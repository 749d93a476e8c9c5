//! The edits that authors make.

use tallybridge_config::{Edit, Template};

/// Entry whose template has the first one as its parent, so that it needs the first one.
const CHILD_ENTRY: u8 = 3;

/// Number that stands for the removal of the first template.
pub const REMOVAL: u8 = 4;

/// An edit of one of a few templates, told from all others by its deadline.
pub fn edit(entry: u8, number: u32) -> Edit {
    if entry == REMOVAL {
        return Edit::RemoveTemplate("template-0".into());
    }
    let is_child = entry == CHILD_ENTRY;
    // A child's deadline is below its parent's, as the rules ask for.
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
