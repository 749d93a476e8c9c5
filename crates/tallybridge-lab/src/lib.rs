//! tallybridge-lab.
