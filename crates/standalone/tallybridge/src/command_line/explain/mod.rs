//! `tallybridge explain`: of the nodes that run, or of their log files.

mod from_logs;
mod log_file;

use std::{net::SocketAddr, path::PathBuf};

use clap::Args;
use serde::Deserialize;
use serde_json::json;
use tallybridge_core::ErrorKind;

use self::from_logs::LoggedPath;
use super::{
    Failure,
    admin::{AdminClient, NodeDecision, unreachable},
    fleet::{FleetReport, FleetRow},
    table::Table,
    utc::Utc,
};

const EXAMPLES: &str = "\
Examples:
  tallybridge explain 0190f0c45a7e-0190f0c45a7e7cc39c1d2f0a6b1e4d55 \\
      --admin 192.0.2.21:7403
  tallybridge explain 9c41d07be2a35f68 --logs logs/*.log

The node at the address asks the others. The request id is in the Tallybridge-Request-Id header of
every answer. Nodes remember the latest refusals, those of each class apart, and everything about
one of 64 requests.

With --logs nothing is asked: the lines of the request and of the calls that were made for it are
taken from files, with what the same nodes wrote around them, and the last line says which hop ended
it. A line may have anything before its JSON; the word next to it names the node then.";

/// Show what was decided for one request, where and why.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Explain {
    /// The request id, or the attempt's name in log files.
    #[arg(value_name = "REQUEST-ID")]
    request_id: String,
    /// Admin address of a node; give it once for each node, or several with commas between them.
    #[arg(
        long = "admin",
        required_unless_present = "logs",
        value_name = "ADDRESS",
        value_delimiter = ','
    )]
    addresses: Vec<SocketAddr>,
    /// Log files of nodes, one or more of each.
    #[arg(long, num_args = 1.., value_name = "FILE", conflicts_with = "addresses")]
    logs: Vec<PathBuf>,
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
}

impl Explain {
    /// Gathers what is known of the request, in the order of the nodes' clocks.
    pub async fn run(&self) -> Result<String, Failure> {
        if self.logs.is_empty() {
            return self.ask_nodes().await;
        }
        let path = LoggedPath::find(&self.request_id, &self.logs)?;
        Ok(if self.json {
            path.json_lines()
        } else {
            path.table()
        })
    }

    async fn ask_nodes(&self) -> Result<String, Failure> {
        let path = self.path()?;
        let client = AdminClient::new(&self.addresses)?;
        let answers = client.get(&path).await;
        let report = FleetReport::gather(&answers);
        let output = if self.json {
            json_lines(&report.rows)
        } else {
            table(&report.rows)?
        };
        match unreachable(&answers).or_else(|| report.incomplete()) {
            Some(failure) => {
                super::print(&output)?;
                Err(failure)
            }
            None if output.is_empty() => Err(self.unknown()),
            None => Ok(output),
        }
    }

    fn path(&self) -> Result<String, Failure> {
        let mut characters = self.request_id.chars();
        let is_id =
            characters.all(|character| character.is_ascii_alphanumeric() || character == '-');
        if is_id && !self.request_id.is_empty() {
            return Ok(format!("/explain/{}?fleet=true", self.request_id));
        }
        let detail = format!(
            "{:?} is no request id: it has letters, digits and dashes only",
            self.request_id
        );
        Err(Failure::new(ErrorKind::InvalidRequest, detail))
    }

    fn unknown(&self) -> Failure {
        let detail = format!(
            "none of the {} nodes remembers request {}",
            self.addresses.len(),
            self.request_id
        );
        Failure::new(ErrorKind::InvalidRequest, detail)
    }
}

fn json_lines(rows: &[FleetRow]) -> String {
    let lines = rows.iter().map(|row| {
        let line = json!({ "admin": row.admin, "decision": row.value });
        format!("{line}\n")
    });
    lines.collect()
}

fn table(rows: &[FleetRow]) -> Result<String, Failure> {
    let mut decisions = Vec::new();
    for row in rows {
        let decision = NodeDecision::deserialize(&row.value).map_err(|error| {
            let detail = format!("{}: unexpected answer: {error}", row.node);
            Failure::new(ErrorKind::NodeUnavailable, detail)
        })?;
        decisions.push((&row.node, decision));
    }
    if decisions.is_empty() {
        return Ok(String::new());
    }
    decisions.sort_by_key(|(_, decision)| decision.unix_ms);
    let mut table = Table::new(["TIME", "NODE", "PHASE", "REVISION", "DECISION"]);
    for (node, decision) in decisions {
        let time = Utc {
            unix_ms: decision.unix_ms,
        };
        table.push([
            time.to_string(),
            node.clone(),
            decision.phase,
            decision.revision.to_string(),
            decision.decision,
        ]);
    }
    Ok(table.to_string())
}
