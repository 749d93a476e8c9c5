//! `tallybridge check`.

use std::path::{Path, PathBuf};

use clap::{Args, ValueEnum};
use tallybridge_config::{ConfigurationFile, FileKind, Mistakes, Settings, SettingsOverrides};
use tallybridge_core::ErrorKind;

use super::{Failure, files::read_bytes};

const EXAMPLES: &str = "\
Examples:
  tallybridge check node.toml fleet.toml
  tallybridge check --kind configuration empty.toml

Every mistake of every file comes in one report; the exit code is then 84.";

/// Check settings and configuration files; name every mistake.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Check {
    /// The files.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// What the files hold; told from their content when not given.
    #[arg(long)]
    kind: Option<Kind>,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Kind {
    /// A node's settings.
    Settings,
    /// Templates and tenants.
    Configuration,
}

impl From<Kind> for FileKind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Settings => Self::Settings,
            Kind::Configuration => Self::Configuration,
        }
    }
}

impl Check {
    /// Checks all files.
    pub fn run(&self) -> Result<String, Failure> {
        let mut output = String::new();
        let mut wrong = Vec::new();
        for path in &self.files {
            let (kind, bytes) = self.read(path)?;
            match check(path, kind, &bytes) {
                Ok(()) => output += &format!("{}: {kind}, no mistakes\n", path.display()),
                Err(mistakes) => wrong.push(mistakes),
            }
        }
        if wrong.is_empty() {
            Ok(output)
        } else {
            Err(Failure::Mistakes(wrong))
        }
    }

    fn read(&self, path: &Path) -> Result<(FileKind, Vec<u8>), Failure> {
        let bytes = read_bytes(path)?;
        let kind = self.kind.map(FileKind::from);
        let kind = kind.or_else(|| FileKind::detect(&String::from_utf8_lossy(&bytes)));
        let kind = kind.ok_or_else(|| {
            let detail = format!(
                "{} has the fields of neither kind of file, or of both: name it with --kind",
                path.display()
            );
            Failure::new(ErrorKind::InvalidConfiguration, detail)
        })?;
        Ok((kind, bytes))
    }
}

fn check(path: &Path, kind: FileKind, bytes: &[u8]) -> Result<(), Mistakes> {
    let name = path.to_string_lossy();
    match kind {
        FileKind::Settings => {
            let no_flags = SettingsOverrides::default();
            Settings::parse_bytes_with(&name, bytes, &no_flags).map(|_| ())
        }
        FileKind::Configuration => ConfigurationFile::parse_bytes(&name, bytes).map(|_| ()),
    }
}
