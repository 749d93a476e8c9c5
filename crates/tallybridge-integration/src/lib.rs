//! tallybridge-integration.
