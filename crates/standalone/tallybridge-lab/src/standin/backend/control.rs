//! What the lab can tell a back end to do.

use serde::{Deserialize, Serialize};

/// Body of `POST /control`: the whole state that the lab wants.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// How many times slower it works.
    pub slowdown: f64,
    /// Whether it says on every answer that it leaves.
    pub draining: bool,
    /// Whether health and load tell that all is well.
    pub lying: bool,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            draining: false,
            lying: false,
        }
    }
}
