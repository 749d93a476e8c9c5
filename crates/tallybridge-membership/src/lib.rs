//! tallybridge-membership.
