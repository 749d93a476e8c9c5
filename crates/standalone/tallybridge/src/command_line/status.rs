//! `tallybridge status`.

use std::net::SocketAddr;

use clap::Args;
use serde::Deserialize;
use serde_json::{Value, json};

use super::{
    Failure,
    admin::{AdminArguments, AdminClient, NodeAnswer, NodeStatus, unreachable},
    fleet::FleetReport,
    table::Table,
};

const EXAMPLES: &str = "\
Examples:
  tallybridge status --admin 192.0.2.21:7403,192.0.2.22:7403
  tallybridge status --admin 192.0.2.21:7403 --fleet
  tallybridge status --admin 192.0.2.21:7403 --json

Nodes that don't answer are shown as such; the exit code is then 87, with the others still shown.";

/// Show what nodes say about themselves.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Status {
    #[command(flatten)]
    admin: AdminArguments,
    /// Show every node that the nodes at the addresses know; they ask the others.
    #[arg(long)]
    fleet: bool,
    /// Print the nodes' whole answers as JSON.
    #[arg(long)]
    json: bool,
}

impl Status {
    /// Asks the nodes.
    pub async fn run(&self) -> Result<String, Failure> {
        let client = AdminClient::new(&self.admin.addresses)?;
        if self.fleet {
            let answers = client.get("/status?fleet=true").await;
            return self.show_fleet(&FleetReport::gather(&answers));
        }
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

impl Status {
    fn show_fleet(&self, fleet: &FleetReport) -> Result<String, Failure> {
        let output = if self.json {
            fleet_lines(fleet)
        } else {
            format!("{}{}", fleet_table(fleet), revisions(fleet))
        };
        match fleet.incomplete() {
            Some(failure) => {
                super::print(&output)?;
                Err(failure)
            }
            None => Ok(output),
        }
    }
}

fn fleet_lines(fleet: &FleetReport) -> String {
    let rows = fleet.rows.iter().map(|row| {
        let line = json!({ "admin": row.admin, "status": row.value, "error": null });
        format!("{line}\n")
    });
    let silent = fleet.silent.iter().map(|(node, error)| {
        let line = json!({ "node": node, "status": null, "error": error });
        format!("{line}\n")
    });
    rows.chain(silent).collect()
}

fn fleet_table(fleet: &FleetReport) -> Table<10> {
    let mut table = Table::new(COLUMNS);
    for fleet_row in &fleet.rows {
        table.push(match NodeStatus::deserialize(&fleet_row.value) {
            Ok(status) => row(&fleet_row.admin, &status),
            Err(_) => unknown_row(&fleet_row.node),
        });
    }
    for node in fleet.silent.keys() {
        table.push(unknown_row(node));
    }
    table
}

/// At how many nodes the greatest revision is in force, and who lags.
fn revisions(fleet: &FleetReport) -> String {
    let statuses = fleet.rows.iter();
    let statuses = statuses.filter_map(|row| NodeStatus::deserialize(&row.value).ok());
    let statuses: Vec<_> = statuses.collect();
    let greatest = statuses.iter().map(|status| status.revision).max();
    let greatest = greatest.unwrap_or(0);
    let lagging = statuses.iter().filter(|status| status.revision < greatest);
    let lagging: Vec<_> = lagging.map(describe_lag).collect();
    let nodes = fleet.rows.len() + fleet.silent.len();
    let reached = statuses.len() - lagging.len();
    let mut text = format!("revision {greatest} is in force at {reached} of {nodes} nodes\n");
    for line in lagging {
        text += &format!("lagging: {line}\n");
    }
    text
}

fn describe_lag(status: &NodeStatus) -> String {
    let mut text = format!("{} is at revision {}", status.node, status.revision);
    if let Some(confirmed) = status.configuration_confirmed_ms_ago {
        text += &format!(", last confirmed {confirmed} ms ago");
    }
    if let Some(refused) = &status.configuration_refused {
        text += &format!(", refuses {}: {}", refused.revision, refused.reason);
    }
    text
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

const COLUMNS: [&str; 10] = [
    "ADMIN", "STATE", "NODE", "SERVICE", "REVISION", "CALLS", "RUNNING", "QUEUED", "ADMITS",
    "PEERS",
];

fn table(answers: &[NodeAnswer]) -> Table<10> {
    let mut table = Table::new(COLUMNS);
    for answer in answers {
        table.push(match answer.read() {
            Ok(status) => row(&answer.address, &status),
            Err(_) => unknown_row(&answer.address.to_string()),
        });
    }
    table
}

fn row(admin: &SocketAddr, status: &NodeStatus) -> [String; 10] {
    let state = if status.leaving {
        "leaving"
    } else if status.ready {
        "ready"
    } else {
        "not ready"
    };
    [
        admin.to_string(),
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
        status
            .live_members
            .max(status.peers.len() as u64)
            .to_string(),
    ]
}

fn unknown_row(node: &str) -> [String; 10] {
    let mut row = std::array::from_fn(|_| absent());
    row[0] = node.to_owned();
    row[1] = "no answer".to_owned();
    row
}

/// What stands where there is no value.
fn absent() -> String {
    "-".to_owned()
}
