//! `tallybridge config history`.

use clap::Args;
use tallybridge_config::{Edit, RevisionRecord};
use tallybridge_core::ErrorKind;

use crate::command_line::{Failure, store::StoreArguments, table::Table, utc::Utc};

const EXAMPLES: &str = "\
Examples:
  tallybridge config history --store 192.0.2.10:2379
  tallybridge config history --store 192.0.2.10:2379 --limit 5 --json";

/// Show who changed what, when and why, the newest first.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct History {
    #[command(flatten)]
    store: StoreArguments,
    /// Most revisions to show.
    #[arg(long, default_value_t = 20, value_name = "NUMBER")]
    limit: usize,
    /// Print the records as JSON lines.
    #[arg(long)]
    json: bool,
}

impl History {
    /// Reads the log.
    pub async fn run(&self) -> Result<String, Failure> {
        let log = self.store.log()?;
        let records = log.history(self.limit).await?;
        if self.json {
            json_lines(&records)
        } else {
            Ok(table(&records).to_string())
        }
    }
}

fn json_lines(records: &[RevisionRecord]) -> Result<String, Failure> {
    let mut lines = String::new();
    for record in records {
        let line = serde_json::to_string(record);
        let line = line.map_err(|error| Failure::new(ErrorKind::Internal, error.to_string()))?;
        lines += &line;
        lines.push('\n');
    }
    Ok(lines)
}

fn table(records: &[RevisionRecord]) -> Table<5> {
    let mut table = Table::new(["REVISION", "TIME", "AUTHOR", "CHANGES", "COMMENT"]);
    for record in records {
        let time = Utc {
            unix_ms: record.made_unix_ms,
        };
        let changes: Vec<_> = record.edits.iter().map(change).collect();
        table.push([
            record.revision.to_string(),
            time.to_string(),
            record.author.clone(),
            changes.join(", "),
            record.comment.clone(),
        ]);
    }
    table
}

fn change(edit: &Edit) -> String {
    let verb = match edit {
        Edit::PutTemplate(_) | Edit::PutTenant(_) => "put",
        Edit::RemoveTemplate(_) | Edit::RemoveTenant(_) => "remove",
    };
    format!("{verb} {}", edit.entry())
}
