//! tallybridge-limits.
