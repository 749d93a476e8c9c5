//! One caller: sends its request, and again when it fails, until it has an answer or no patience.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tallybridge_core::{Outcome, header};
use tokio::time::Instant;
use uuid::Uuid;

use super::{Arrival, RequestRecord, SendEnd, SendRecord};
use crate::{
    clock::unix_us,
    scenario::{Kind, Scenario},
    standin::backend::{CallPlace, answer_body, digest},
};

/// What all callers of a run share.
#[derive(Debug)]
pub struct Callers {
    /// Scenario.
    pub scenario: Arc<Scenario>,
    /// Addresses at which calls enter.
    pub entries: Vec<SocketAddr>,
    /// Client.
    pub client: reqwest::Client,
}

/// A request on its way, with what stays the same over all sendings.
pub struct Call<'a> {
    kind: &'a Kind,
    method: reqwest::Method,
    tenant: &'a str,
    key: Uuid,
    place: CallPlace,
    expected_bytes: usize,
    deadline: Instant,
}

/// What a caller has got from one sending.
struct Sent {
    end: SendEnd,
    retry_after: Option<Duration>,
}

impl Callers {
    /// Sends the request of an arrival until it is settled.
    pub async fn call(
        &self,
        arrival: &Arrival,
        intended: Instant,
        intended_us: u64,
    ) -> RequestRecord {
        let call = self.prepare(arrival, intended);
        let mut sends = Vec::new();
        for attempt in 0..call.kind.attempts {
            let entry = arrival.entry.wrapping_add(attempt as usize) % self.entries.len();
            let sent_us = unix_us();
            let sent = self.send(&call, self.entries[entry]).await;
            let settled = matches!(sent.end, SendEnd::Answered { .. });
            sends.push(SendRecord {
                entry,
                sent_us,
                ended_us: unix_us(),
                end: sent.end,
            });
            if settled || !self.wait_before_next(&call, sent.retry_after).await {
                break;
            }
        }
        RequestRecord {
            request: arrival.request,
            kind: arrival.kind,
            tenant: arrival.tenant,
            intended_us,
            offset_us: u64::try_from(arrival.at.as_micros()).unwrap_or(u64::MAX),
            ended_us: unix_us(),
            sends,
        }
    }

    fn prepare(&self, arrival: &Arrival, intended: Instant) -> Call<'_> {
        let kind = &self.scenario.kind[arrival.kind];
        let endpoint = self
            .scenario
            .service(&kind.service)
            .and_then(|service| service.endpoint(&kind.path));
        let method = endpoint.map_or("GET", |endpoint| endpoint.method.as_str());
        Call {
            kind,
            method: reqwest::Method::from_bytes(method.as_bytes()).unwrap_or_default(),
            tenant: self.scenario.tenants[arrival.tenant].as_str(),
            key: Uuid::now_v7(),
            place: CallPlace::root(&kind.path, arrival.request),
            expected_bytes: endpoint.map_or(0, |endpoint| endpoint.answer_bytes),
            deadline: intended + Duration::from_millis(kind.patience_ms),
        }
    }

    /// Waits as long as the caller does between two sendings; false when patience ends first.
    async fn wait_before_next(&self, call: &Call<'_>, retry_after: Option<Duration>) -> bool {
        let mut pause = Duration::from_millis(call.kind.backoff_ms);
        if call.kind.honours_retry_after {
            pause = pause.max(retry_after.unwrap_or_default());
        }
        let next = Instant::now() + pause;
        if next >= call.deadline {
            return false;
        }
        tokio::time::sleep_until(next).await;
        true
    }

    async fn send(&self, call: &Call<'_>, entry: SocketAddr) -> Sent {
        let attempt_end = Instant::now() + Duration::from_millis(call.kind.attempt_timeout_ms);
        let end = attempt_end.min(call.deadline);
        let exchange = async {
            self.travel().await;
            let sent = self.exchange(call, entry, end).await;
            self.travel().await;
            sent
        };
        tokio::time::timeout_at(end, exchange)
            .await
            .unwrap_or(Sent {
                end: SendEnd::TimedOut,
                retry_after: None,
            })
    }

    /// The way between a caller and its entry node.
    async fn travel(&self) {
        let latency = Duration::from_secs_f64(self.scenario.client_latency_ms / 1_000.0);
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
    }

    async fn exchange(&self, call: &Call<'_>, entry: SocketAddr, end: Instant) -> Sent {
        let remaining = end.saturating_duration_since(Instant::now());
        let answer = self
            .client
            .request(
                call.method.clone(),
                format!("http://{entry}/call/{}/{}", call.kind.service, call.place),
            )
            .header(header::TENANT, call.tenant)
            .header(header::IDEMPOTENCY_KEY, call.key.to_string())
            .header(header::TIMEOUT_MS, remaining.as_millis().to_string())
            .send()
            .await;
        match answer {
            Ok(answer) => call.read(answer).await,
            Err(error) => Sent {
                end: failed(&error),
                retry_after: None,
            },
        }
    }
}

impl Call<'_> {
    async fn read(&self, answer: reqwest::Response) -> Sent {
        let status = answer.status();
        let headers = answer.headers().clone();
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let retry_after = text("retry-after")
            .and_then(|value| value.parse().ok())
            .map(Duration::from_secs);
        let end = match answer.bytes().await {
            Err(error) => failed(&error),
            Ok(body) if status.is_success() => self.verify(&body),
            Ok(_) => SendEnd::Refused {
                status: status.as_u16(),
                outcome: text(header::OUTCOME).and_then(Outcome::from_header),
                error: text(header::ERROR_KIND).map(str::to_owned),
            },
        };
        Sent { end, retry_after }
    }

    fn verify(&self, body: &Bytes) -> SendEnd {
        let service = self.kind.service.as_str();
        SendEnd::Answered {
            digest: digest(body),
            bytes: body.len(),
            right: *body == answer_body(service, &self.place, self.expected_bytes),
        }
    }
}

fn failed(error: &reqwest::Error) -> SendEnd {
    if error.is_connect() {
        SendEnd::NotConnected
    } else {
        SendEnd::ConnectionLost {
            detail: error.to_string(),
        }
    }
}
