//! `tallybridge config diff`.

use std::path::{Path, PathBuf};

use clap::Args;
use tallybridge_config::{Document, Revision, difference};

use crate::command_line::{Failure, files::read_configuration, store::StoreArguments};

const EXAMPLES: &str = "\
Examples:
  tallybridge config diff fleet.toml --store 192.0.2.10:2379
  tallybridge config diff --from 6 --to 7 --store 192.0.2.10:2379

Prints nothing when there is no difference.";

/// Show what a file would change, or what lies between two revisions.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Diff {
    /// The file to compare with.
    #[arg(value_name = "FILE", conflicts_with = "to")]
    file: Option<PathBuf>,
    #[command(flatten)]
    store: StoreArguments,
    /// The older revision; the newest when not given.
    #[arg(long, value_name = "NUMBER")]
    from: Option<u64>,
    /// The revision to compare with instead of a file; the newest when not given.
    #[arg(long, value_name = "NUMBER")]
    to: Option<u64>,
}

impl Diff {
    /// Compares.
    pub async fn run(&self) -> Result<String, Failure> {
        let log = self.store.log()?;
        let from = log.document(self.from.map(Revision)).await?;
        let to = match &self.file {
            Some(path) => edited(&from, path)?,
            None => log.document(self.to.map(Revision)).await?,
        };
        Ok(difference(&from, &to))
    }
}

/// The document that the file makes of one.
fn edited(document: &Document, path: &Path) -> Result<Document, Failure> {
    let file = read_configuration(path)?;
    Ok(document.with_edits(&document.edits_from(&file)))
}
