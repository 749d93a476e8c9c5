//! Why a scenario can't be loaded.

use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

use super::Mistake;

/// Why a scenario can't be loaded.
#[derive(Debug, Error, Diagnostic)]
pub enum LoadError {
    /// The file can't be read.
    #[error("can't read {path}")]
    #[diagnostic(help("give a path, or one of the names of `tallybridge-lab list`"))]
    Read {
        /// Path given.
        path: String,
        /// Cause.
        #[source]
        source: std::io::Error,
    },
    /// The file is no valid TOML or has fields that a scenario doesn't have.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Syntax(Box<SyntaxError>),
    /// The file contradicts itself.
    #[error("{path} has {} mistakes", mistakes.len())]
    Mistakes {
        /// Path of the file.
        path: String,
        /// All of them.
        #[related]
        mistakes: Vec<Mistake>,
    },
    /// The configuration file has mistakes.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Configuration(Box<tallybridge_config::Mistakes>),
}

/// The file is no valid TOML or has fields that a scenario doesn't have.
#[derive(Debug, Error, Diagnostic)]
#[error("{message}")]
pub struct SyntaxError {
    /// What is wrong.
    pub message: String,
    /// Whole file.
    #[source_code]
    pub text: NamedSource<String>,
    /// Where.
    #[label("here")]
    pub span: Option<SourceSpan>,
}
