//! `tallybridge config get`.

use clap::Args;
use tallybridge_config::{ConfigurationFile, Revision};

use crate::command_line::{Failure, store::StoreArguments};

const EXAMPLES: &str = "\
Examples:
  tallybridge config get --store 192.0.2.10:2379 > fleet.toml
  tallybridge config get --store 192.0.2.10:2379 --revision 6 > before.toml

The first line names the revision, which `config apply` wants as --base. To go back, apply an older
revision's file: that makes a new revision.";

/// Print the configuration as a file.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Get {
    #[command(flatten)]
    store: StoreArguments,
    /// The revision; the newest when not given.
    #[arg(long, value_name = "NUMBER")]
    revision: Option<u64>,
}

impl Get {
    /// Reads the configuration.
    pub async fn run(&self) -> Result<String, Failure> {
        let log = self.store.log()?;
        let document = log.document(self.revision.map(Revision)).await?;
        let text = ConfigurationFile::from(&document).print();
        Ok(format!("# revision {}\n{text}", document.revision))
    }
}
