//! Faults on a schedule.

use serde::{Deserialize, Serialize};

/// A fault at a time of the run. Fields that are not known are refused by the action, which gets
/// whatever is left (serde can't do both `flatten` and `deny_unknown_fields` here).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, in seconds from the start of the first phase.
    pub at_seconds: f64,
    /// How long it lasts, in seconds; after that it is undone where it can be.
    #[serde(default)]
    pub seconds: f64,
    /// What it does to what.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// What a fault does. A target is a back end's name, `service-number` counted from 0.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case", deny_unknown_fields)]
pub enum FaultAction {
    /// Kills the back end and its node at once; both start again, as new instances at the same
    /// addresses, when the fault ends.
    Kill {
        /// Back end.
        target: String,
    },
    /// Kills the node and starts it again at once, as a new instance at the same addresses.
    RestartNode {
        /// Back end beside the node.
        target: String,
    },
    /// Stops the node's process from running (SIGSTOP) and lets it run again at the end.
    Freeze {
        /// Back end beside the node.
        target: String,
    },
    /// Stops the back end's process from running (SIGSTOP) and lets it run again at the end.
    FreezeBackend {
        /// Back end.
        target: String,
    },
    /// Stops the node as an operator would (SIGTERM), then starts a new one when the fault ends.
    StopNode {
        /// Back end beside the node.
        target: String,
    },
    /// Makes every back end of a service slower.
    Slow {
        /// Service.
        service: String,
        /// How many times slower.
        factor: f64,
    },
    /// Makes a back end's health and load endpoints tell that all is well.
    Lie {
        /// Back end.
        target: String,
    },
    /// Lets a back end say that it is leaving.
    Drain {
        /// Back end.
        target: String,
    },
    /// Makes a back end cold again.
    Cool {
        /// Back end.
        target: String,
    },
    /// Lets the store answer nothing but 503.
    StoreOutage,
    /// Makes the store slow.
    StoreSlow {
        /// Added time for each answer, in milliseconds.
        delay_ms: u64,
    },
    /// Lets the store do writes whose answers are lost.
    StoreLosesAnswers,
    /// Lets two operators write the next revision at the same time.
    OperatorRace,
}

impl FaultAction {
    /// The back end that the fault is about, if it is about one.
    #[must_use]
    pub fn target(&self) -> Option<&str> {
        match self {
            Self::Kill { target }
            | Self::RestartNode { target }
            | Self::Freeze { target }
            | Self::FreezeBackend { target }
            | Self::StopNode { target }
            | Self::Lie { target }
            | Self::Drain { target }
            | Self::Cool { target } => Some(target),
            _ => None,
        }
    }
}
