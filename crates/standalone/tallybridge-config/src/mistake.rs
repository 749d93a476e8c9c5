//! Reports of everything that is wrong in one file.

use std::{fmt, ops::Range, sync::Arc};

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};

use crate::check::Rule;

/// Where a mistaken value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A file.
    File {
        /// The line, counted from 1.
        line: usize,
        /// The column in characters, counted from 1.
        column: usize,
        /// The bytes of the file.
        span: Range<usize>,
    },
    /// A flag of the command line, which went before the file.
    Flag,
}

/// One mistake in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// The rule that is broken.
    pub rule: Rule,
    /// Name of the file.
    pub file: String,
    /// Where the value comes from.
    pub origin: Origin,
    /// The field with its table, as in `template[pay].deadline_ms`.
    pub field: String,
    /// What was given.
    pub given: String,
    /// What is allowed.
    pub allowed: String,
    /// What to do about it.
    pub mend: String,
}

impl Mistake {
    /// The line in the file, counted from 1; `None` for a flag.
    #[must_use]
    pub const fn line(&self) -> Option<usize> {
        match self.origin {
            Origin::File { line, .. } => Some(line),
            Origin::Flag => None,
        }
    }
}

impl fmt::Display for Mistake {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.origin {
            Origin::File { line, column, .. } => {
                write!(formatter, "{}:{line}:{column}: ", self.file)?;
            }
            Origin::Flag => formatter.write_str("command line: ")?,
        }
        write!(
            formatter,
            "`{}` is {}; allowed: {}",
            self.field, self.given, self.allowed
        )
    }
}

impl std::error::Error for Mistake {}

impl Diagnostic for Mistake {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.rule))
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(&self.mend))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let Origin::File { span, .. } = &self.origin else {
            return None;
        };
        let span = SourceSpan::from(span.clone());
        let label = LabeledSpan::new_with_span(Some(format!("allowed: {}", self.allowed)), span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// Everything that is wrong in one file, in the order of the file.
#[derive(Debug, Clone)]
pub struct Mistakes {
    source: NamedSource<Arc<str>>,
    mistakes: Vec<Mistake>,
}

impl Mistakes {
    pub(crate) fn new(file_name: &str, text: &str, mistakes: Vec<Mistake>) -> Self {
        Self {
            source: NamedSource::new(file_name, Arc::from(text)),
            mistakes,
        }
    }

    /// Name of the file.
    #[must_use]
    pub fn file(&self) -> &str {
        self.source.name()
    }

    /// The mistakes; never empty.
    pub fn iter(&self) -> std::slice::Iter<'_, Mistake> {
        self.mistakes.iter()
    }
}

impl<'a> IntoIterator for &'a Mistakes {
    type Item = &'a Mistake;
    type IntoIter = std::slice::Iter<'a, Mistake>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Mistakes {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let noun = if self.mistakes.len() == 1 {
            "mistake"
        } else {
            "mistakes"
        };
        write!(formatter, "{}: {} {noun}", self.file(), self.mistakes.len())
    }
}

impl std::error::Error for Mistakes {}

impl Diagnostic for Mistakes {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(tallybridge_core::ErrorKind::InvalidConfiguration))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let related = self.mistakes.iter();
        Some(Box::new(related.map(|mistake| mistake as &dyn Diagnostic)))
    }
}
