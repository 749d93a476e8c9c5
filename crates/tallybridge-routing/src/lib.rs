//! tallybridge-routing.
