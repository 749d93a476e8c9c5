//! Why a command failed.

use std::{fmt, path::Path};

use miette::Diagnostic;
use tallybridge_config::Mistakes;
use tallybridge_core::{ErrorKind, Refusal};
use tallybridge_store::StoreError;

/// An error of a command, which decides its exit code and report.
#[derive(Debug)]
pub enum Failure {
    /// Files are wrong.
    Mistakes(Vec<Mistakes>),
    /// Everything else.
    Refused {
        /// What went wrong.
        refusal: Refusal,
        /// Text to show as it is, such as a difference; empty for none.
        attachment: String,
    },
}

impl Failure {
    /// The kind.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Mistakes(_) => ErrorKind::InvalidConfiguration,
            Self::Refused { refusal, .. } => refusal.kind,
        }
    }

    /// A failure with the detail that people need.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Refusal::new(kind, detail).into()
    }

    /// The same failure with a text to show as it is.
    #[must_use]
    pub fn with_attachment(mut self, text: String) -> Self {
        if let Self::Refused { attachment, .. } = &mut self {
            *attachment = text;
        }
        self
    }

    /// The text to show as it is.
    #[must_use]
    pub fn attachment(&self) -> &str {
        match self {
            Self::Mistakes(_) => "",
            Self::Refused { attachment, .. } => attachment,
        }
    }

    /// A file can't be read.
    pub fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        let detail = format!("{} can't be read: {error}", path.display());
        Self::new(ErrorKind::InvalidConfiguration, detail)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Mistakes(files) => {
                let mistakes: usize = files.iter().map(|file| file.iter().count()).sum();
                write!(
                    formatter,
                    "{} in {}",
                    count(mistakes, "mistake"),
                    count(files.len(), "file")
                )
            }
            Self::Refused { refusal, .. } => formatter.write_str(&refusal.detail),
        }
    }
}

impl std::error::Error for Failure {}

/// A number with its noun.
fn count(number: usize, noun: &str) -> String {
    let plural = if number == 1 { "" } else { "s" };
    format!("{number} {noun}{plural}")
}

impl Diagnostic for Failure {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.kind()))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.kind().answer().hint))
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let Self::Mistakes(files) = self else {
            return None;
        };
        let files = files.iter();
        Some(Box::new(files.map(|file| file as &dyn Diagnostic)))
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused {
            refusal,
            attachment: String::new(),
        }
    }
}

impl From<Mistakes> for Failure {
    fn from(mistakes: Mistakes) -> Self {
        Self::Mistakes(vec![mistakes])
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        Self::new(ErrorKind::StoreUnavailable, error.to_string())
    }
}
