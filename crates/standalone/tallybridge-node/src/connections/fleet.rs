//! Asks the whole fleet on behalf of an operator.

use std::time::Duration;

use futures::{StreamExt, stream::FuturesUnordered};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use tallybridge_core::{NodeId, Refusal};
use tallybridge_wire::{ExplainFetch, JsonReport, Message, Text};

use crate::{
    actor::status::{Explain, GetOwnStatus, OtherMembers, Status},
    context::NodeContext,
    tables::decisions::Decision,
};

/// Longest time for a member to answer. All are asked at once.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// A decision, and who made it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDecision {
    /// The node.
    pub node: String,
    /// Its decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// What the fleet remembers of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FleetExplanation {
    /// The decisions, in the order of the nodes' clocks.
    pub decisions: Vec<NodeDecision>,
    /// Live members that did not answer in time.
    pub unanswered: Vec<String>,
}

/// What the nodes of the fleet say about themselves.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FleetStatus {
    /// Each node's own words, which may be those of another version of the program.
    pub nodes: Vec<Value>,
    /// Live members that did not answer in time.
    pub unanswered: Vec<String>,
}

/// The decisions that this node remembers of a request.
///
/// # Errors
///
/// A refusal when the node is stopping.
pub async fn explain_here(
    context: &NodeContext,
    request_id: String,
) -> Result<Vec<NodeDecision>, Refusal> {
    let decisions = context.ask(Explain(request_id)).await?;
    let node = context.identity.to_string();
    let decisions = decisions.into_iter().map(|decision| NodeDecision {
        node: node.clone(),
        decision,
    });
    Ok(decisions.collect())
}

/// The decisions that the whole fleet remembers of a request.
///
/// # Errors
///
/// A refusal when the node is stopping.
pub async fn explain_in_fleet(
    context: &NodeContext,
    request_id: String,
) -> Result<FleetExplanation, Refusal> {
    let fetch = Message::ExplainFetch(ExplainFetch {
        request_id: Text::new(&request_id),
    });
    let (others, unanswered) = ask_others::<Vec<NodeDecision>>(context, &fetch).await?;
    let mut decisions = explain_here(context, request_id).await?;
    decisions.extend(others.into_iter().flatten());
    decisions.sort_by_key(|row| (row.decision.unix_ms, row.decision.phase));
    Ok(FleetExplanation {
        decisions,
        unanswered,
    })
}

/// What this node says about itself.
///
/// # Errors
///
/// A refusal when the node is stopping.
pub async fn status_here(context: &NodeContext) -> Result<Status, Refusal> {
    context.ask(GetOwnStatus).await
}

/// What all nodes of the fleet say about themselves.
///
/// # Errors
///
/// A refusal when the node is stopping.
pub async fn status_in_fleet(context: &NodeContext) -> Result<FleetStatus, Refusal> {
    let (mut nodes, unanswered) = ask_others::<Value>(context, &Message::StatusFetch).await?;
    let own = serde_json::to_value(status_here(context).await?);
    nodes.extend(own);
    nodes.sort_by_key(|status| status["node"].as_str().unwrap_or("").to_owned());
    Ok(FleetStatus { nodes, unanswered })
}

/// Asks all other live members at once; gives the answers and who gave none.
async fn ask_others<T: DeserializeOwned>(
    context: &NodeContext,
    question: &Message,
) -> Result<(Vec<T>, Vec<String>), Refusal> {
    let members = context.ask(OtherMembers).await?;
    let mut requests: FuturesUnordered<_> = members
        .into_iter()
        .map(async |node| (node, ask_member(context, node, question.clone()).await))
        .collect();
    let (mut answers, mut unanswered) = (Vec::new(), Vec::new());
    while let Some((node, answer)) = requests.next().await {
        match answer {
            Some(answer) => answers.push(answer),
            None => unanswered.push(node.to_string()),
        }
    }
    unanswered.sort();
    Ok((answers, unanswered))
}

async fn ask_member<T: DeserializeOwned>(
    context: &NodeContext,
    node: NodeId,
    question: Message,
) -> Option<T> {
    let request = context.links.request(node, question);
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, request).await.ok()?;
    let (Message::ExplainRecords(report) | Message::StatusRecords(report)) = reply.ok()?.message
    else {
        return None;
    };
    serde_json::from_slice(&report.json).ok()
}

/// Wraps an answer to another node. One that can't be written is empty, and counts as none.
#[must_use]
pub fn report<T: Serialize>(value: &T) -> JsonReport {
    JsonReport::new(serde_json::to_vec(value).unwrap_or_default())
}
