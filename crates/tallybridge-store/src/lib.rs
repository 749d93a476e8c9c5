//! tallybridge-store.
