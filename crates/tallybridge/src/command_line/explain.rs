//! `tallybridge explain`.

use clap::Args;
use serde_json::json;
use tallybridge_core::ErrorKind;

use super::{
    Failure,
    admin::{AdminArguments, AdminClient, NodeAnswer, NodeDecision, unreachable},
    table::Table,
    utc::Utc,
};

const EXAMPLES: &str = "\
Examples:
  tallybridge explain 0190f0c45a7e-0190f0c45a7e7cc39c1d2f0a6b1e4d55 \\
      --admin 192.0.2.21:7403,192.0.2.22:7403

The request id is in the Tallybridge-Request-Id header of every answer. Nodes remember the latest
requests only.";

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
        let output = if self.json {
            json_lines(&answers)
        } else {
            table(&answers)?
        };
        match unreachable(&answers) {
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
            return Ok(format!("/explain/{}", self.request_id));
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

fn json_lines(answers: &[NodeAnswer]) -> String {
    let mut lines = String::new();
    for answer in answers {
        let decisions = answer.answer.as_ref().ok();
        let decisions = decisions.and_then(|decisions| decisions.as_array());
        for decision in decisions.into_iter().flatten() {
            let line = json!({ "admin": answer.address, "decision": decision });
            lines += &format!("{line}\n");
        }
    }
    lines
}

fn table(answers: &[NodeAnswer]) -> Result<String, Failure> {
    let mut decisions = Vec::new();
    for answer in answers.iter().filter(|answer| answer.answer.is_ok()) {
        let read: Vec<NodeDecision> = answer.read().map_err(|error| {
            let detail = format!("{}: {error}", answer.address);
            Failure::new(ErrorKind::NodeUnavailable, detail)
        })?;
        decisions.extend(read.into_iter().map(|decision| (answer.address, decision)));
    }
    if decisions.is_empty() {
        return Ok(String::new());
    }
    decisions.sort_by_key(|(_, decision)| decision.unix_ms);
    let mut table = Table::new(["TIME", "ADMIN", "PHASE", "REVISION", "DECISION"]);
    for (address, decision) in decisions {
        let time = Utc {
            unix_ms: decision.unix_ms,
        };
        table.push([
            time.to_string(),
            address.to_string(),
            decision.phase,
            decision.revision.to_string(),
            decision.decision,
        ]);
    }
    Ok(table.to_string())
}
