//! Templates: how one kind of request is treated under strain.

use serde::{Deserialize, Serialize};
use tallybridge_core::{Criticality, ServiceName, TemplateName};

/// When the fleet itself may run an attempt again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryOn {
    /// Never, not even when the attempt was refused before it ran.
    Never,
    /// Only when the attempt is known not to have run.
    #[default]
    NotRun,
    /// Also when the attempt may have run; the call must be idempotent.
    Unknown,
}

impl RetryOn {
    /// Every choice, the most careful first.
    pub const ALL: [Self; 3] = [Self::Never, Self::NotRun, Self::Unknown];

    /// The choice's name in files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Never => "never",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// How one kind of request is treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Unique name, which tenant parameters refer to.
    pub name: TemplateName,
    /// Service whose calls this template covers.
    pub service: ServiceName,
    /// HTTP methods it covers; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Path prefix it covers; the longest matching prefix wins.
    #[serde(default = "default_path_prefix")]
    pub path_prefix: String,
    /// Class of the call; a nested call has at least its root's class.
    #[serde(default)]
    pub criticality: Criticality,
    /// Whether running the call twice does no harm. A call that is not runs at most once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// When the fleet may run an attempt again.
    #[serde(default)]
    pub retry_on: RetryOn,
    /// Retries that one request may cause over its whole chain when this call is its root.
    #[serde(default = "default_retry_allowance")]
    pub retry_allowance: u8,
    /// Longest time a call may take, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
    /// Template of the call that makes this one; its deadline must be at least as long.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<TemplateName>,
    /// Largest request body, in bytes.
    #[serde(default = "default_max_request_bytes")]
    pub max_request_bytes: u32,
    /// Largest answer body, in bytes.
    #[serde(default = "default_max_answer_bytes")]
    pub max_answer_bytes: u32,
    /// Most calls of this kind that one back end runs at once; the adaptive limit applies below
    /// it. Absent: only the adaptive limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrency_limit: Option<u16>,
    /// Slots of a back end kept for this kind; at most `concurrency_limit`.
    #[serde(default)]
    pub reserve: u16,
}

pub(crate) fn default_path_prefix() -> String {
    "/".to_owned()
}

pub(crate) const fn default_idempotent() -> bool {
    true
}

pub(crate) const fn default_retry_allowance() -> u8 {
    2
}

pub(crate) const fn default_deadline_ms() -> u32 {
    2_000
}

pub(crate) const fn default_max_request_bytes() -> u32 {
    1 << 20
}

pub(crate) const fn default_max_answer_bytes() -> u32 {
    8 << 20
}
