//! tallybridge-node.
