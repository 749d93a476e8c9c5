//! tallybridge-lab.

pub mod standin;
