//! Callers: they hand a request to a node and note what they are told.

use bytes::Bytes;
use tallybridge_core::{ServiceName, TenantName};
use tallybridge_node::{
    context::NodeContext,
    path::{CallEnd, CarriedRequest, entry},
    systems::begin::{CallRequest, Origin},
};
use tallybridge_wire::WireHeaders;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{
    TENANT,
    backend::kind_of_path,
    history::{Call, End, Kind, SharedHistory},
    service_name,
};

/// A request for the service at a position of its chain.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub kind: Kind,
    pub number: u64,
    pub position: usize,
}

impl Request {
    /// A request as its caller makes it.
    pub fn root(kind: Kind, number: u64) -> Self {
        let position = kind.chain()[0];
        Self {
            kind,
            number,
            position,
        }
    }

    /// The request as a back end receives it.
    pub fn read(path: &str, body: &[u8]) -> Self {
        let number = u64::from_be_bytes(body.try_into().expect("a request's number"));
        Self::root(kind_of_path(path), number)
    }

    /// The service that the one at a position calls.
    pub fn next_after(&self, position: usize) -> Option<usize> {
        let chain = self.kind.chain();
        let place = chain.iter().position(|one| *one == position)?;
        chain.get(place + 1).copied()
    }

    /// Whether back ends repeat nested calls of this request that were not answered.
    pub const fn is_repeated_by_backends(&self) -> bool {
        self.number.is_multiple_of(3)
    }
}

/// Hands a request to a node, as its HTTP server does, and notes what became of it.
pub async fn carry(
    node: &NodeContext,
    history: &SharedHistory,
    request: Request,
    origin: Origin,
    cancelled: CancellationToken,
) -> End {
    let index = note_call(node, history, request);
    let body = Bytes::copy_from_slice(&request.number.to_be_bytes());
    let call = CallRequest {
        tenant: Some(TenantName::from(TENANT)),
        service: ServiceName::from(service_name(request.position)),
        method: "POST".to_owned(),
        path: request.kind.path().to_owned(),
        body_bytes: body.len(),
        timeout: None,
        origin,
    };
    let carried = CarriedRequest {
        method: "POST".to_owned(),
        path_and_query: request.kind.path().to_owned(),
        headers: WireHeaders::default(),
        body,
    };
    let context = node.clone();
    let task = node
        .calls
        .spawn(async move { entry::carry(&context, call, carried, cancelled).await });
    let end = told(task.await.expect("the call's task does not panic"));
    let mut history = history.lock().expect("history");
    history.calls[index]
        .end
        .get_or_insert((Instant::now(), end.clone()));
    end
}

fn note_call(node: &NodeContext, history: &SharedHistory, request: Request) -> usize {
    let mut history = history.lock().expect("history");
    history.calls.push(Call {
        kind: request.kind,
        request: request.number,
        position: request.position,
        entry: node.identity.address,
        began: Instant::now(),
        gave_up: false,
        end: None,
    });
    history.calls.len() - 1
}

fn told(end: CallEnd) -> End {
    match end.result {
        Ok(answer) => End::Answered {
            status: answer.status,
            body: answer.body,
        },
        Err(refusal) => End::Refused {
            kind: refusal.kind,
            outcome: refusal.outcome,
            detail: refusal.detail,
        },
    }
}
