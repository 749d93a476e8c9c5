//! tallybridge-wire.
