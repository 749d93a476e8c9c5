//! Stand-in of the platform's store: keys with leases, reads, watches and transactions.

use std::{
    collections::{BTreeMap, HashMap},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Wire, json::Json};

#[derive(Clone)]
struct Item {
    /// Base64 text as it was written.
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    /// `None` for a key that is gone.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("store binds");
        let state = State {
            revision: 1,
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: HashMap::new(),
            next_lease: 1000,
        };
        let store = Self {
            address: listener.local_addr().expect("address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            expiring.expire();
        });
        store
    }

    /// Writes a value as the operator.
    pub fn write(&self, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value), 0);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.ends_at <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        if !ended.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(request) = wire.message() {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let (status, answer) = self.answer(request.method(), request.target(), &body);
            let headers = "Content-Type: application/json\r\n";
            if wire.answer(status, headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let mut state = self.state.0.lock().unwrap();
        match (method, path) {
            ("GET", "/-/kv-key") => {
                let key = field("tls_key").unwrap_or_default();
                let at = state.revision;
                match state.items.get(&key) {
                    Some(item) => ("200 OK", format!("{{{},\"at\":{at}}}", fields(&key, item))),
                    None => ("404 Not Found", format!("{{\"at\":{at}}}")),
                }
            }
            ("GET", "/-/kv-range") => {
                let prefix = field("path_prefix").unwrap_or_default();
                let after = field("after").unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| format!("{{{}}}", fields(key, item)))
                    .collect();
                let at = state.revision;
                ("200 OK", format!("{{\"items\":[{}],\"more\":false,\"at\":{at}}}", items.join(",")))
            }
            ("GET", "/-/kv-watch") => {
                let prefix = field("path_prefix").unwrap_or_default();
                let after: u64 = field("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 = field("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let ends_at = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                        .map(|event| match &event.item {
                            Some(item) => format!("{{{}}}", fields(&event.key, item)),
                            None => format!(
                                "{{\"tls_key\":\"{}\",\"revision\":{},\"gone\":true}}",
                                event.key, event.revision
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= ends_at {
                        let at = state.revision;
                        return ("200 OK", format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")));
                    }
                    state = self.state.1.wait_timeout(state, ends_at - now).unwrap().0;
                }
            }
            ("POST", "/-/kv-txn") => {
                let Some(transaction) = Json::parse(body) else {
                    return ("400 Bad Request", "{}".to_owned());
                };
                for put in transaction.list("put") {
                    let lease = put.number("lease").unwrap_or(0);
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return ("404 Not Found", "{}".to_owned());
                    }
                }
                for row in transaction.list("expected_revision") {
                    let key = row.text("tls_key").unwrap_or_default();
                    let revision = state.items.get(key).map_or(0, |item| item.revision);
                    if Some(revision) != row.number("revision") {
                        return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
                    }
                }
                state.revision += 1;
                for put in transaction.list("put") {
                    let key = put.text("tls_key").unwrap_or_default();
                    let value = put.text("value").unwrap_or_default().to_owned();
                    state.put(key, value, put.number("lease").unwrap_or(0));
                }
                for key in transaction.list("remove") {
                    if let Json::Text(key) = key {
                        state.remove(key);
                    }
                }
                self.state.1.notify_all();
                let revision = state.revision;
                ("200 OK", format!("{{\"revision\":{revision}}}"))
            }
            ("POST", "/-/kv-lease") => {
                let ttl = Json::parse(body).and_then(|body| body.number("ttl_ms")).unwrap_or(1000);
                let ttl = ttl.clamp(1000, 600_000);
                let id = state.next_lease;
                state.next_lease += 1;
                let ttl_length = Duration::from_millis(ttl);
                let lease = Lease { ttl: ttl_length, ends_at: Instant::now() + ttl_length };
                state.leases.insert(id, lease);
                ("200 OK", format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", _) if path.starts_with("/-/kv-keep/") => {
                let id = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        ("200 OK", format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/-/kv-lease-end/") => {
                let id = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                if !state.leases.contains_key(&id) {
                    return ("404 Not Found", "{}".to_owned());
                }
                state.end_lease(id);
                self.state.1.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

impl State {
    /// Writes a key at the current revision.
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        let item = Item { value, revision, made, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.events.push(Event { key: key.to_owned(), revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }
}

fn fields(key: &str, item: &Item) -> String {
    let Item { value, revision, made, lease } = item;
    format!(
        "\"tls_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let padded = [part[0], *part.get(1).unwrap_or(&0), *part.get(2).unwrap_or(&0)];
        let number = u32::from(padded[0]) << 16 | u32::from(padded[1]) << 8 | u32::from(padded[2]);
        for position in 0..4 {
            if position <= part.len() {
                text.push(DIGITS[(number >> (18 - 6 * position) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
