//! Client of nodes' admin addresses.

use std::{net::SocketAddr, time::Duration};

use clap::Args;
use serde::Deserialize;
use serde_json::Value;
use tallybridge_core::ErrorKind;

use super::Failure;

/// Longest time that one node may take to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The nodes to ask.
#[derive(Debug, Args)]
pub struct AdminArguments {
    /// Admin address of a node; give it once for each node, or several with commas between them.
    #[arg(
        long = "admin",
        required = true,
        value_name = "ADDRESS",
        value_delimiter = ','
    )]
    pub addresses: Vec<SocketAddr>,
}

/// What a node says about itself, as far as this program shows it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct NodeStatus {
    /// The node's name.
    pub node: String,
    /// Service of the back end beside it.
    pub service: Option<String>,
    /// Whether it can serve.
    pub ready: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Configuration revision in force there.
    pub revision: u64,
    /// Calls that entered there and are not answered yet.
    pub calls: u64,
    /// Calls that its back end runs.
    pub executions: u64,
    /// Calls that may run at once.
    pub limit: u64,
    /// Calls that wait for a slot.
    pub queued: u64,
    /// Least critical class that is admitted.
    pub admitted_from: Option<String>,
    /// Number of live nodes that it knows.
    pub live_members: u64,
    /// Time since it last knew that its revision was the newest, in milliseconds.
    pub configuration_confirmed_ms_ago: Option<u64>,
    /// A revision that it does not put in force.
    pub configuration_refused: Option<RefusedRevision>,
    /// Nodes that it knows.
    pub peers: Vec<Value>,
}

/// A revision that a node does not put in force, as far as this program shows it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct RefusedRevision {
    /// The revision.
    pub revision: u64,
    /// Why.
    pub reason: String,
}

/// One decision about a request.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct NodeDecision {
    /// When, in milliseconds since the Unix epoch by the node's clock.
    pub unix_ms: u64,
    /// The part that decided.
    pub phase: String,
    /// What was decided.
    pub decision: String,
    /// Configuration revision it was decided by.
    pub revision: u64,
}

/// An answer of one node, or why there is none.
pub struct NodeAnswer {
    /// The node's admin address.
    pub address: SocketAddr,
    /// The answer's JSON.
    pub answer: Result<Value, String>,
}

impl NodeAnswer {
    /// The answer as a type; an answer of another shape is none.
    pub fn read<T: for<'de> Deserialize<'de>>(&self) -> Result<T, String> {
        let value = self.answer.as_ref().map_err(Clone::clone)?;
        T::deserialize(value).map_err(|error| format!("unexpected answer: {error}"))
    }
}

/// Asks nodes.
pub struct AdminClient {
    client: reqwest::Client,
    addresses: Vec<SocketAddr>,
}

impl AdminClient {
    /// A client that opens no connection yet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] when the system gives no means for connections.
    pub fn new(addresses: &[SocketAddr]) -> Result<Self, Failure> {
        let client = reqwest::Client::builder().timeout(REQUEST_TIMEOUT).build();
        let client =
            client.map_err(|error| Failure::new(ErrorKind::Internal, error.to_string()))?;
        Ok(Self {
            client,
            addresses: addresses.to_vec(),
        })
    }

    /// Asks every node at once, in the order of the addresses.
    pub async fn get(&self, path: &str) -> Vec<NodeAnswer> {
        let requests = self.addresses.iter().map(|address| {
            let client = self.client.clone();
            let url = format!("http://{address}{path}");
            (*address, tokio::spawn(get(client, url)))
        });
        let requests: Vec<_> = requests.collect();
        let mut answers = Vec::new();
        for (address, request) in requests {
            let answer = request.await.unwrap_or_else(|error| Err(error.to_string()));
            answers.push(NodeAnswer { address, answer });
        }
        answers
    }
}

async fn get(client: reqwest::Client, url: String) -> Result<Value, String> {
    let response = client.get(url).send().await;
    let response = response.and_then(reqwest::Response::error_for_status);
    let response = response.map_err(|error| describe(&error))?;
    response.json().await.map_err(|error| describe(&error))
}

/// The innermost cause, which says most in least space.
fn describe(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// The failure when some nodes did not answer.
pub fn unreachable(answers: &[NodeAnswer]) -> Option<Failure> {
    let missing = answers.iter().filter_map(|answer| {
        let error = answer.answer.as_ref().err()?;
        Some(format!("{}: {error}", answer.address))
    });
    let missing: Vec<_> = missing.collect();
    if missing.is_empty() {
        return None;
    }
    let detail = format!(
        "{} of {} nodes did not answer: {}",
        missing.len(),
        answers.len(),
        missing.join("; ")
    );
    Some(Failure::new(ErrorKind::NodeUnavailable, detail))
}
