//! Options of a run.

use std::path::PathBuf;

use crate::policy::Policy;

/// Options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Seed of the arrivals.
    pub seed: u64,
    /// Policies to compare, without repeats.
    pub policies: Vec<Policy>,
    /// How often each policy is run.
    pub rounds: usize,
    /// Directory in which settings, logs and records are kept; absent: they are removed.
    pub keep_files: Option<PathBuf>,
}
