//! `tallybridge status`.

use clap::Args;
use serde_json::{Value, json};

use super::{
    Failure,
    admin::{AdminArguments, AdminClient, NodeAnswer, NodeStatus, unreachable},
    table::Table,
};

const EXAMPLES: &str = "\
Examples:
  tallybridge status --admin 192.0.2.21:7403,192.0.2.22:7403
  tallybridge status --admin 192.0.2.21:7403 --json

Nodes that don't answer are shown as such; the exit code is then 87, with the others still shown.";

/// Show what nodes say about themselves.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Status {
    #[command(flatten)]
    admin: AdminArguments,
    /// Print the nodes' whole answers as JSON.
    #[arg(long)]
    json: bool,
}

impl Status {
    /// Asks the nodes.
    pub async fn run(&self) -> Result<String, Failure> {
        let client = AdminClient::new(&self.admin.addresses)?;
        let answers = client.get("/status").await;
        let output = if self.json {
            json_lines(&answers)
        } else {
            table(&answers).to_string()
        };
        match unreachable(&answers) {
            Some(failure) => {
                super::print(&output)?;
                Err(failure)
            }
            None => Ok(output),
        }
    }
}

/// One line for each node.
fn json_lines(answers: &[NodeAnswer]) -> String {
    let lines = answers.iter().map(|answer| {
        let (status, error) = match &answer.answer {
            Ok(status) => (status.clone(), Value::Null),
            Err(error) => (Value::Null, Value::from(error.as_str())),
        };
        let line = json!({ "admin": answer.address, "status": status, "error": error });
        format!("{line}\n")
    });
    lines.collect()
}

fn table(answers: &[NodeAnswer]) -> Table<10> {
    let mut table = Table::new([
        "ADMIN", "STATE", "NODE", "SERVICE", "REVISION", "CALLS", "RUNNING", "QUEUED", "ADMITS",
        "PEERS",
    ]);
    for answer in answers {
        table.push(match answer.read() {
            Ok(status) => row(answer, &status),
            Err(_) => unknown_row(answer),
        });
    }
    table
}

fn row(answer: &NodeAnswer, status: &NodeStatus) -> [String; 10] {
    let state = if status.leaving {
        "leaving"
    } else if status.ready {
        "ready"
    } else {
        "not ready"
    };
    [
        answer.address.to_string(),
        state.to_owned(),
        status.node.clone(),
        status.service.clone().unwrap_or_else(absent),
        status.revision.to_string(),
        status.calls.to_string(),
        format!("{}/{}", status.executions, status.limit),
        status.queued.to_string(),
        status
            .admitted_from
            .as_ref()
            .map_or_else(|| "none".to_owned(), |class| format!("{class}+")),
        status.peers.len().to_string(),
    ]
}

fn unknown_row(answer: &NodeAnswer) -> [String; 10] {
    let mut row = std::array::from_fn(|_| absent());
    row[0] = answer.address.to_string();
    row[1] = "no answer".to_owned();
    row
}

/// What stands where there is no value.
fn absent() -> String {
    "-".to_owned()
}
