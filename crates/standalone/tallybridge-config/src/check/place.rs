//! Where in settings or a configuration a value stands.

/// The table that a field belongs to; numbers count from 0 in the order of the file, or by name in
/// a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Entry {
    /// The top of the file.
    Top,
    /// The `backend` table of settings.
    Backend,
    /// A template.
    Template(usize),
    /// A tenant.
    Tenant(usize),
    /// An override of a tenant.
    Override {
        /// The tenant.
        tenant: usize,
        /// The override within the tenant.
        index: usize,
    },
}

/// One field, or one element of a field that is a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The table.
    pub entry: Entry,
    /// The field's name; empty for the table as a whole.
    pub field: &'static str,
    /// The element, counted from 0.
    pub element: Option<usize>,
}

impl Place {
    /// A field.
    #[must_use]
    pub const fn field(entry: Entry, field: &'static str) -> Self {
        Self {
            entry,
            field,
            element: None,
        }
    }

    /// An element of a list.
    #[must_use]
    pub const fn element(entry: Entry, field: &'static str, element: usize) -> Self {
        Self {
            entry,
            field,
            element: Some(element),
        }
    }
}
