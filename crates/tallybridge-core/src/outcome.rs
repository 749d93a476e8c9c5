//! What is known about the execution of a request when it is answered.

/// What an answer says about the execution of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Outcome {
    /// A back end ran the request and this is its whole answer.
    Completed = 0,
    /// No attempt of the request was ever handed to a back end.
    NotRun = 1,
    /// The request may or may not have run.
    Unknown = 2,
}

impl Outcome {
    /// Every outcome, in wire order.
    pub const ALL: [Self; 3] = [Self::Completed, Self::NotRun, Self::Unknown];

    /// The outcome's name in the `Tallybridge-Outcome` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// The outcome of a wire value, or `None` when no outcome has that value.
    #[must_use]
    pub fn from_wire(value: u8) -> Option<Self> {
        Self::ALL.get(usize::from(value)).copied()
    }

    /// The outcome of a header value, or `None` when no outcome has that name.
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
