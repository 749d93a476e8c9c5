//! A stand-in of an application back end beside a node.
//!
//! It answers its health check, repeats `X-Attempt-Id`, refuses requests that expect another instance
//! with 421, and reports itself to its node as `ready` each 1.5 s.

use std::{
    net::{SocketAddr, TcpListener},
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Message, Peer, call_once};

#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub tenant: String,
    pub at: Instant,
    pub instance: String,
}

/// Returns the whole body of the answer to an attempt, 6,000 bytes.
pub fn body_of(attempt: &str) -> Vec<u8> {
    let line = format!("{attempt} is the attempt that this line answers\n");
    line.bytes().cycle().take(6000).collect()
}

/// Returns the whole body of an answer on a path that begins with `/balance/`, 30,000 bytes.
pub fn large_body_of(attempt: &str) -> Vec<u8> {
    body_of(attempt).into_iter().cycle().take(30_000).collect()
}

/// Which answers have no length.
pub struct Unframed {
    begun: Instant,
    period: Duration,
    /// The part of each period in which there are any.
    part: Range<Duration>,
    /// One answer in so many.
    one_in: usize,
    answers: AtomicUsize,
}

impl Unframed {
    pub fn new(period: Duration, part: Range<Duration>, one_in: usize) -> Self {
        Self {
            begun: Instant::now(),
            period,
            part,
            one_in,
            answers: AtomicUsize::new(0),
        }
    }

    fn is_next(&self) -> bool {
        let at = self.begun.elapsed().as_millis() % self.period.as_millis();
        self.part.contains(&Duration::from_millis(at as u64))
            && self.answers.fetch_add(1, Ordering::SeqCst) % self.one_in == self.one_in - 1
    }
}

pub struct Backend {
    pub address: SocketAddr,
    pub service: String,
    pub slots: usize,
    pub work: Duration,
    /// Where some answers have no length and end with their connection (`garble`, `unframed`).
    unframed: Option<Unframed>,
    report_address: SocketAddr,
    zone: String,
    /// Number of the start, which makes the id.
    start: AtomicU64,
    name: String,
    is_up: AtomicBool,
    busy: AtomicUsize,
    pub runs: Mutex<Vec<Run>>,
}

impl Backend {
    pub fn new(
        name: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        report_address: SocketAddr,
        work: Duration,
        unframed: Option<Unframed>,
    ) -> Arc<Self> {
        let backend = Arc::new(Self {
            address,
            service: service.to_owned(),
            slots: 142,
            work,
            unframed,
            report_address,
            zone: zone.to_owned(),
            start: AtomicU64::new(0),
            name: name.to_owned(),
            is_up: AtomicBool::new(false),
            busy: AtomicUsize::new(0),
            runs: Mutex::default(),
        });
        let reporting = backend.clone();
        thread::spawn(move || reporting.report());
        backend
    }

    pub fn instance(&self) -> String {
        format!("i-{}-{}", self.name, self.start.load(Ordering::SeqCst))
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    /// Starts the back end under a new id.
    pub fn up(self: &Arc<Self>) {
        self.start.fetch_add(1, Ordering::SeqCst);
        let listener = TcpListener::bind(self.address).expect("the back end's address is free");
        listener.set_nonblocking(true).expect("non-blocking");
        self.is_up.store(true, Ordering::SeqCst);
        let backend = self.clone();
        thread::spawn(move || {
            while backend.is_up() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let backend = backend.clone();
                        thread::spawn(move || backend.serve(Peer::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn serve(&self, mut peer: Peer) {
        let instance = self.instance();
        while let Ok(request) = peer.read() {
            if self.answer(&mut peer, &request, &instance).is_err() || !self.is_up() {
                return;
            }
        }
    }

    fn answer(&self, peer: &mut Peer, request: &Message, instance: &str) -> std::io::Result<()> {
        if request.word(1) == "/healthz" {
            return peer.write(
                &format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {instance}\r\nContent-Length: 0\r\n\r\n"
                ),
                b"",
            );
        }
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        let common = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {instance}\r\n");
        if request.header("x-expect-instance") != Some(instance) {
            let head =
                format!("HTTP/1.1 421 x\r\n{common}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return peer.write(&head, b"");
        }
        if self.busy.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.busy.fetch_sub(1, Ordering::SeqCst);
            let head =
                format!("HTTP/1.1 503 x\r\n{common}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return peer.write(&head, b"");
        }
        self.runs.lock().unwrap().push(Run {
            attempt: attempt.clone(),
            tenant: request.header("x-tenant").unwrap_or("").to_owned(),
            at: Instant::now(),
            instance: instance.to_owned(),
        });
        if self.unframed.as_ref().is_some_and(Unframed::is_next) {
            println!("unframed {attempt}");
            let result = self.stream(peer, &attempt, &common);
            self.busy.fetch_sub(1, Ordering::SeqCst);
            result?;
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        thread::sleep(self.work);
        self.busy.fetch_sub(1, Ordering::SeqCst);
        let body = if request.word(1).starts_with("/balance/") {
            large_body_of(&attempt)
        } else if request.word(1).starts_with("/package/") {
            body_of(&attempt)
        } else {
            format!("body of {attempt}").into_bytes()
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}X-Server-Signature: s.{attempt}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        peer.write(&head, &body)
    }

    /// Writes a whole answer that has no length, in pieces over the time of the work, and ends it with the
    /// connection.
    fn stream(&self, peer: &mut Peer, attempt: &str, common: &str) -> std::io::Result<()> {
        let body = body_of(attempt);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}X-Server-Signature: s.{attempt}\r\nConnection: close\r\n\r\n"
        );
        peer.write(&head, b"")?;
        for piece in body.chunks(body.len() / 8) {
            peer.write("", piece)?;
            thread::sleep(self.work / 8);
        }
        peer.stream.shutdown(std::net::Shutdown::Both)
    }

    fn report(&self) {
        for sequence in 1_u64.. {
            thread::sleep(Duration::from_millis(if sequence < 4 { 400 } else { 1500 }));
            if self.is_up() {
                self.report_once(sequence);
            }
        }
    }

    fn report_once(&self, sequence: u64) {
        let Self {
            address,
            service,
            zone,
            slots,
            ..
        } = self;
        let body = format!(
            "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\"call_seq\":{sequence},\"cold_remaining_ms\":0}}}}"
        );
        let head = format!(
            "POST /-/Instances.Heartbeat/{} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.instance(),
            body.len()
        );
        let _ = call_once(
            self.report_address,
            &head,
            body.as_bytes(),
            Duration::from_secs(1),
        );
    }
}
