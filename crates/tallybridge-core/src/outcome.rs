//! Outcome of a request, which an answer reports to the caller.

/// Whether a back end ran a request, as far as the answer can state it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Outcome {
    /// A back end ran the request and the answer is complete.
    Completed = 0,
    /// No back end ran any attempt of the request.
    NotRun = 1,
    /// The request may or may not have run.
    Unknown = 2,
}

impl Outcome {
    /// All outcomes, in the order of their wire values.
    pub const ALL: [Self; 3] = [Self::Completed, Self::NotRun, Self::Unknown];

    /// Returns the name of the outcome in the `Tallybridge-Outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the outcome with this wire value, or `None` if no outcome has it.
    #[must_use]
    pub fn from_wire(value: u8) -> Option<Self> {
        Self::ALL.get(usize::from(value)).copied()
    }

    /// Returns the outcome with this header value, or `None` if no outcome has it.
    #[must_use]
    pub fn from_header(value: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|outcome| outcome.as_str() == value)
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
