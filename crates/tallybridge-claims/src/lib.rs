//! tallybridge-claims.
