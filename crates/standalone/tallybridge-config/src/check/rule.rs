//! The closed list of rules that settings and configurations are checked against.

use std::fmt;

macro_rules! rules {
    ($($(#[$meta:meta])* $rule:ident = $name:literal)*) => {
        /// A rule that a file or a record breaks.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Rule {
            $($(#[$meta])* $rule,)*
        }

        impl Rule {
            /// The whole list.
            pub const ALL: &'static [Self] = &[$(Self::$rule),*];

            /// The rule's name in reports.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$rule => $name,)*
                }
            }
        }
    };
}

rules! {
    /// The file is UTF-8.
    Encoding = "encoding"
    /// The file is TOML.
    Syntax = "syntax"
    /// Every field is known.
    UnknownField = "unknown-field"
    /// Every required field is there.
    MissingField = "missing-field"
    /// A value has the field's type.
    WrongType = "wrong-type"
    /// A number lies within the field's bounds.
    OutOfRange = "out-of-range"
    /// A value is one of those that the field takes.
    UnknownValue = "unknown-value"
    /// A name has only the characters `a` to `z`, `0` to `9` and `-`.
    InvalidName = "invalid-name"
    /// A method is one that HTTP defines.
    UnknownMethod = "unknown-method"
    /// A path prefix starts with `/` and has no character that a path can't have.
    InvalidPathPrefix = "invalid-path-prefix"
    /// An address is one that a socket can have.
    UnusableAddress = "unusable-address"
    /// No two parts of a node share an address.
    AddressClash = "address-clash"
    /// A list has the elements that it needs.
    EmptyList = "empty-list"
    /// Only an idempotent call may run again when it may have run.
    UnsafeRetry = "unsafe-retry"
    /// A nested call ends before its parent's deadline.
    DeadlineAboveParent = "deadline-above-parent"
    /// A reserve fits within the concurrency limit.
    ReserveAboveLimit = "reserve-above-limit"
    /// A template's parent exists.
    UnknownParent = "unknown-parent"
    /// No template is its own ancestor.
    ParentCycle = "parent-cycle"
    /// Names are unique.
    DuplicateName = "duplicate-name"
    /// Only one template covers a service, method and path prefix.
    DuplicateCoverage = "duplicate-coverage"
    /// A tenant changes only templates that exist.
    UnknownTemplate = "unknown-template"
    /// A tenant changes a template once.
    DuplicateOverride = "duplicate-override"
    /// A tenant leaves a nested call's deadline within its parent's.
    OverrideDeadlineAboveParent = "override-deadline-above-parent"
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
