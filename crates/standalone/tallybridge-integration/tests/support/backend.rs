//! The back end of one hop of a chain.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU16, Ordering},
};

use bytes::Bytes;
use tallybridge_core::header;
use tokio::sync::RwLock;
use warp::{
    Filter,
    http::{HeaderMap, Response, StatusCode},
    path::FullPath,
};

/// A back end that records each execution and answers with what the next service answered.
#[derive(Clone)]
pub struct Backend {
    pub executions: Arc<Mutex<Vec<String>>>,
    pub tokens: Arc<Mutex<Vec<String>>>,
    pub hold: Arc<RwLock<()>>,
    pub fails: Arc<AtomicBool>,
    /// Status with which it says, after its nested call, that it has not run; 0 for never.
    pub hands_on: Arc<AtomicU16>,
    /// Where the next service is called; the last back end of a chain calls none.
    pub next: Option<String>,
    pub client: reqwest::Client,
}

impl Backend {
    /// Serves a listener until the test ends.
    pub fn spawn(self, listener: std::net::TcpListener) {
        let route = warp::any()
            .and(warp::path::full())
            .and(warp::header::headers_cloned())
            .and(warp::body::bytes())
            .then(move |path: FullPath, headers: HeaderMap, body: Bytes| {
                self.record(&headers);
                let backend = self.clone();
                async move { backend.answer(path, headers, body).await }
            });
        listener.set_nonblocking(true).expect("nonblocking");
        let listener = tokio::net::TcpListener::from_std(listener).expect("listener");
        tokio::spawn(warp::serve(route).incoming(listener).run());
    }

    fn record(&self, headers: &HeaderMap) {
        let request_id = headers[header::REQUEST_ID].to_str().unwrap_or("");
        let token = headers[header::CALL_TOKEN].to_str().unwrap_or("");
        self.tokens.lock().expect("lock").push(token.to_owned());
        let mut executions = self.executions.lock().expect("lock");
        executions.push(request_id.to_owned());
    }

    async fn answer(self, path: FullPath, headers: HeaderMap, body: Bytes) -> Response<String> {
        let fails = self.fails.load(Ordering::Relaxed);
        drop(self.hold.read().await);
        if fails {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, "failed".to_owned());
        }
        let Some(next) = &self.next else {
            let text = format!("leaf {} {}", path.as_str(), body.len());
            return answer(StatusCode::OK, text);
        };
        let url = format!("{next}{}", path.as_str());
        let token = headers[header::CALL_TOKEN].clone();
        let nested = self.client.post(url).header(header::CALL_TOKEN, token);
        let nested = nested.body(body).send().await.expect("the node answers");
        let status = nested.status();
        let text = nested.text().await.expect("whole");
        if let status @ 1.. = self.hands_on.load(Ordering::Relaxed) {
            return not_run(status);
        }
        answer(status, format!("via {text}"))
    }
}

fn not_run(status: u16) -> Response<String> {
    let status = StatusCode::from_u16(status).expect("a status");
    let mut response = answer(status, "not run".to_owned());
    let outcome = header::OUTCOME.parse::<warp::http::HeaderName>();
    let outcome = outcome.expect("a name");
    let not_run = warp::http::HeaderValue::from_static("not-run");
    response.headers_mut().insert(outcome, not_run);
    response
}

fn answer(status: StatusCode, text: String) -> Response<String> {
    let mut response = Response::new(text);
    *response.status_mut() = status;
    response
}
