//! `tallybridge explain`.

use clap::Args;
use serde::Deserialize;
use serde_json::json;
use tallybridge_core::ErrorKind;

use super::{
    Failure,
    admin::{AdminArguments, AdminClient, NodeDecision, unreachable},
    fleet::{FleetReport, FleetRow},
    table::Table,
    utc::Utc,
};

const EXAMPLES: &str = "\
Examples:
  tallybridge explain 0190f0c45a7e-0190f0c45a7e7cc39c1d2f0a6b1e4d55 \\
      --admin 192.0.2.21:7403

The node at the address asks the others. The request id is in the Tallybridge-Request-Id header of
every answer. Nodes remember the latest refusals, those of each class apart, and everything about
one of 64 requests.";

/// Show what was decided for one request, where and why.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Explain {
    /// The request id.
    #[arg(value_name = "REQUEST-ID")]
    request_id: String,
    #[command(flatten)]
    admin: AdminArguments,
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
}

impl Explain {
    /// Gathers the decisions from the nodes, in the order of their clocks.
    pub async fn run(&self) -> Result<String, Failure> {
        let path = self.path()?;
        let client = AdminClient::new(&self.admin.addresses)?;
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
            self.admin.addresses.len(),
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
