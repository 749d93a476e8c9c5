//! tallybridge.
