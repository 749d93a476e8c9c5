//! Why a deployment can't be started or told something.

use std::path::PathBuf;

use miette::Diagnostic;
use thiserror::Error;

/// Why a deployment can't be started or told something.
#[derive(Debug, Error, Diagnostic)]
pub enum ProcessError {
    /// A file, a socket or a process can't be opened.
    #[error("{what}")]
    Io {
        /// What was tried.
        what: String,
        /// Cause.
        #[source]
        source: std::io::Error,
    },
    /// A process ended, or said nothing, before it was ready.
    #[error("{name} was not ready in time")]
    #[diagnostic(help("its log is in {}", log.display()))]
    NotReady {
        /// Process.
        name: String,
        /// File with its standard error.
        log: PathBuf,
    },
    /// A process refused what the lab asked of it.
    #[error("{what}")]
    Refused {
        /// What was asked.
        what: String,
        /// Cause.
        #[source]
        source: reqwest::Error,
    },
    /// A settings file can't be written out.
    #[error("settings of {name} can't be written")]
    Settings {
        /// Process.
        name: String,
        /// Cause.
        message: String,
    },
}

impl ProcessError {
    /// An I/O error with what was tried.
    pub fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| Self::Io { what, source }
    }
}
