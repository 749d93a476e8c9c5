//! `tallybridge config apply`.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::Args;
use tallybridge_config::{Document, Edit, Revision, RevisionRecord};
use tallybridge_core::ErrorKind;
use tallybridge_store::{AppendError, AppendOutcome, ChangeRequest, log::Conflict};
use uuid::Uuid;

use super::{conflict::outdated, in_force::wait_until_in_force};
use crate::command_line::{
    Failure,
    files::read_configuration,
    store::{Log, StoreArguments},
};

const EXAMPLES: &str = "\
Examples:
  tallybridge config apply fleet.toml --base 7 --author alice --comment 'More time for billing' \\
      --store 192.0.2.10:2379
  tallybridge config apply fleet.toml --base 7 --author alice --comment 'More time for billing' \\
      --store 192.0.2.10:2379 --admin 192.0.2.21:7403,192.0.2.22:7403 --wait 30

The whole file becomes the next revision. When a revision newer than --base is there already, nothing
is changed, the exit code is 85 and the difference is shown.";

/// Make a file the next revision.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Apply {
    /// The configuration file.
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// The revision that the file was made from, as `config get` names it.
    #[arg(long, value_name = "REVISION")]
    base: u64,
    /// Who makes the change.
    #[arg(long, value_name = "NAME")]
    author: String,
    /// Why.
    #[arg(long, value_name = "TEXT")]
    comment: String,
    #[command(flatten)]
    store: StoreArguments,
    /// Wait until the revision is in force at every node that the nodes of --admin know, this many
    /// seconds at most.
    #[arg(long, requires = "admin", value_name = "SECONDS")]
    wait: Option<u64>,
    /// Admin address of a node, which asks the others; several with commas, in case one is away.
    #[arg(long, requires = "wait", value_name = "ADDRESS", value_delimiter = ',')]
    admin: Vec<SocketAddr>,
    /// Identity of the change, as a report of an unsettled change names it: finds out whether that
    /// change was made, and makes it if not.
    #[arg(long, value_name = "UUID")]
    change_id: Option<Uuid>,
}

impl Apply {
    /// Makes the change and waits for it.
    pub async fn run(&self) -> Result<String, Failure> {
        let file = read_configuration(&self.file)?;
        let log = self.store.log()?;
        let current = log.document(None).await?;
        let edits = current.edits_from(&file);
        let (revision, mut output) = if edits.is_empty() {
            let revision = current.revision;
            (
                revision,
                format!("revision {revision} holds this file already\n"),
            )
        } else {
            let revision = self.change(&log, &current, edits).await?;
            (revision, format!("revision {revision} is made\n"))
        };
        if let Some(seconds) = self.wait {
            let longest = Duration::from_secs(seconds);
            output += &wait_until_in_force(revision, &self.admin, longest).await?;
        }
        Ok(output)
    }

    async fn change(
        &self,
        log: &Log,
        current: &Document,
        edits: Vec<Edit>,
    ) -> Result<Revision, Failure> {
        let change = ChangeRequest {
            base: Revision(self.base),
            edits,
            author: self.author.clone(),
            comment: self.comment.clone(),
            change_id: self.change_id.unwrap_or_else(Uuid::now_v7),
        };
        if current.revision != change.base {
            return self.settle(log, current, &change).await;
        }
        match log.append(&change).await {
            Ok(AppendOutcome::Appended { revision }) => Ok(revision),
            Ok(AppendOutcome::Conflict(conflict)) => Err(overtaken(&conflict)),
            Err(error @ AppendError::Unsettled { .. }) => Err(unsettled(&change, &error)),
            Err(error) => Err(error.into()),
        }
    }

    /// The log is not at the base: either this very change was made before, or others changed it.
    async fn settle(
        &self,
        log: &Log,
        current: &Document,
        change: &ChangeRequest,
    ) -> Result<Revision, Failure> {
        let base = log.document(Some(change.base)).await?;
        let since = log.since(change.base).await?;
        match own_record(&since, change.change_id) {
            Some(record) => Ok(record.revision),
            None => Err(outdated(&base, current, &since, &change.edits)),
        }
    }
}

fn own_record(records: &[RevisionRecord], change_id: Uuid) -> Option<&RevisionRecord> {
    records.iter().find(|record| record.change_id == change_id)
}

/// Others changed the same entries while the change was under way.
fn overtaken(conflict: &Conflict) -> Failure {
    let entries = conflict.entries.iter().map(|entry| {
        format!(
            "{} by {} in revision {}",
            entry.entry, entry.author, entry.revision
        )
    });
    let entries: Vec<_> = entries.collect();
    let detail = format!(
        "revision {} was overtaken by revision {}, which changed the same: {}",
        conflict.base,
        conflict.current,
        entries.join(", ")
    );
    Failure::new(ErrorKind::Conflict, detail)
}

/// The fate of the change is unknown; the same command with its identity finds out.
fn unsettled(change: &ChangeRequest, error: &AppendError) -> Failure {
    let detail = format!(
        "{error}\nrun the same command with --change-id {} to find out",
        change.change_id
    );
    Failure::new(ErrorKind::StoreUnavailable, detail)
}
