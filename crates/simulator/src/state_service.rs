//! The state service's stand-in.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use stallcove::protocol::key_value_store::{LeaseRequest, OperationMessage, TransactionRequest};
use tokio::{sync::Notify, time::Instant};

/// What it allows, and what it will allow from some moment on.
#[derive(Clone, Debug)]
pub struct Limits {
    pub rps: f64,
    pub writes: f64,
    pub ops: usize,
    pub value: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rps: f64::MAX,
            writes: f64::MAX,
            ops: 16,
            value: 8 * 1024,
        }
    }
}

#[derive(Default)]
struct Inner {
    ledger: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    events: Vec<(u64, Value)>,
    grants: BTreeMap<u64, (Duration, Instant)>,
    next_grant: u64,
    down: bool,
    refused: BTreeSet<String>,
    requests: Bucket,
    writes: Bucket,
    /// Changes in a transaction and bytes in a value; none: those of the start.
    sizes: Option<(usize, usize)>,
    /// Transactions beyond these.
    too_large: Vec<String>,
    /// Changes asked for, those of failed transactions included.
    changes: usize,
    /// Changes made, by the kind of record: `+` written, `-` removed.
    changes_by_kind: BTreeMap<String, usize>,
}

/// A limit a second, with bursts of one second's worth.
#[derive(Clone, Copy)]
struct Bucket {
    rate: f64,
    level: f64,
    at: Option<Instant>,
}

impl Default for Bucket {
    fn default() -> Self {
        Self {
            rate: f64::MAX,
            level: f64::MAX,
            at: None,
        }
    }
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            level: rate,
            at: None,
        }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        let since = self.at.replace(now).map_or(Duration::ZERO, |at| now - at);
        self.level = (self.level + since.as_secs_f64() * self.rate).min(self.rate);
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }
}

#[derive(Clone, Default)]
pub struct StateService {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

pub type Answer = (u16, Value);

impl Inner {
    fn expire(&mut self) {
        if self.down {
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = self
            .grants
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.grants.remove(&id);
            let gone: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, (_, _, grant))| *grant == Some(id))
                .map(|(key, _)| key.clone())
                .collect();
            if !gone.is_empty() {
                self.ledger += 1;
                for key in gone {
                    self.keys.remove(&key);
                    let event = json!({"drop": key, "mark": self.ledger});
                    self.events.push((self.ledger, event));
                }
            }
        }
    }

    /// Nobody is to send such a transaction.
    fn too_large(&mut self, what: String) -> Answer {
        self.too_large.push(format!("too large: {what}"));
        (400, json!({"error": "too large"}))
    }

    fn commit(&mut self, body: &[u8]) -> Answer {
        let Ok(commit) = serde_json::from_slice::<TransactionRequest>(body) else {
            return (400, json!({"error": "malformed"}));
        };
        let start = Limits::default();
        let (ops, value) = self.sizes.unwrap_or((start.ops, start.value));
        let changes = commit.operations.len();
        let conditions = commit.conditions.len();
        if changes > ops || conditions > 4 * ops {
            let what = format!("{changes} changes, {conditions} conditions");
            return self.too_large(what);
        }
        let large = commit.operations.iter().find_map(|change| match change {
            OperationMessage::Put {
                key,
                value: written,
                ..
            } => {
                let size = written.to_string().len();
                (size > value).then(|| format!("{key} has {size} bytes"))
            }
            OperationMessage::Delete { .. } => None,
        });
        if let Some(what) = large {
            return self.too_large(what);
        }
        if !self.writes.take(commit.operations.len() as f64) {
            return (429, json!({}));
        }
        self.changes += commit.operations.len();
        assert!(body.len() <= 64 * 1024, "too large a transaction");
        let failed: Vec<&String> = commit
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |(_, mark, _)| *mark) != c.revision)
            .map(|c| &c.key)
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.ledger}));
        }
        let mut seen = BTreeSet::new();
        for change in &commit.operations {
            let key = match change {
                OperationMessage::Put { key, lease, .. } => {
                    if lease.is_some_and(|id| !self.grants.contains_key(&id)) {
                        return (400, json!({"error": "no such lease"}));
                    }
                    key
                }
                OperationMessage::Delete { key } => key,
            };
            assert!(seen.insert(key), "{key} changes twice in a transaction");
            if let OperationMessage::Put { key, .. } = change
                && key.starts_with("fate/")
            {
                assert!(!self.keys.contains_key(key), "a fate is written twice");
            }
            if let OperationMessage::Delete { key } = change {
                assert!(!key.starts_with("fate/"), "a fate is removed");
            }
        }
        if commit.operations.is_empty() {
            return (200, json!({"ledger": self.ledger}));
        }
        self.ledger += 1;
        for change in commit.operations {
            let (sign, key) = match &change {
                OperationMessage::Put { key, .. } => ('+', key),
                OperationMessage::Delete { key } => ('-', key),
            };
            let kind = key.split('/').next().unwrap_or(key);
            let made = self.changes_by_kind.entry(format!("{sign}{kind}"));
            *made.or_default() += 1;
            let event = match change {
                OperationMessage::Put { key, value, lease } => {
                    let event = json!({"set": key, "data": value, "mark": self.ledger});
                    self.keys.insert(key, (value, self.ledger, lease));
                    event
                }
                OperationMessage::Delete { key } => {
                    self.keys.remove(&key);
                    json!({"drop": key, "mark": self.ledger})
                }
            };
            self.events.push((self.ledger, event));
        }
        (200, json!({"ledger": self.ledger}))
    }
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

impl StateService {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic holds it")
    }

    pub fn set_down(&self, down: bool) {
        let mut inner = self.lock();
        inner.expire();
        inner.down = down;
        if !down {
            let now = Instant::now();
            for (life, until) in inner.grants.values_mut() {
                *until = now + *life;
            }
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Requests and changes a second.
    pub fn set_limits(&self, rps: f64, writes: f64) {
        let mut inner = self.lock();
        inner.requests = Bucket::new(rps);
        inner.writes = Bucket::new(writes);
    }

    pub fn too_large(&self) -> Vec<String> {
        self.lock().too_large.clone()
    }

    pub fn set_sizes(&self, ops: usize, value: usize) {
        self.lock().sizes = Some((ops, value));
    }

    pub fn changes(&self) -> usize {
        self.lock().changes
    }

    /// Changes made, by the kind of record: `+` written, `-` removed.
    pub fn changes_by_kind(&self) -> BTreeMap<String, usize> {
        self.lock().changes_by_kind.clone()
    }

    /// Answers this controller with 503 only.
    pub fn set_refused(&self, controller: &str, refused: bool) {
        let mut inner = self.lock();
        if refused {
            inner.refused.insert(controller.into());
        } else {
            inner.refused.remove(controller);
        }
    }

    pub async fn handle(&self, from: &str, method: &str, path: &str, body: &[u8]) -> Answer {
        if path.starts_with("/follow") {
            return self.follow(from, path).await;
        }
        let answer = {
            let mut inner = self.lock();
            if inner.down || inner.refused.contains(from) {
                return (503, json!({}));
            }
            if !inner.requests.take(1.0) {
                return (429, json!({}));
            }
            inner.expire();
            match (method, path) {
                ("POST", "/commit") => inner.commit(body),
                ("POST", "/grants") => {
                    let lease: LeaseRequest = serde_json::from_slice(body).expect("a grant's life");
                    let life = Duration::from_millis(lease.ttl_ms);
                    inner.next_grant += 1;
                    let id = inner.next_grant;
                    inner.grants.insert(id, (life, Instant::now() + life));
                    (200, json!({"tether": id}))
                }
                ("POST", _) if path.ends_with("/touch") => {
                    let id: u64 = path
                        .trim_start_matches("/grants/")
                        .trim_end_matches("/touch")
                        .parse()
                        .expect("a grant's number");
                    match inner.grants.get_mut(&id) {
                        Some((life, until)) => {
                            *until = Instant::now() + *life;
                            (200, json!({}))
                        }
                        None => (404, json!({})),
                    }
                }
                ("GET", _) if path.starts_with("/kv/") => {
                    let key = &path["/kv/".len()..];
                    match inner.keys.get(key) {
                        Some((data, mark, _)) => {
                            (200, json!({"k": key, "data": data, "mark": mark}))
                        }
                        None => (404, json!({"ledger": inner.ledger})),
                    }
                }
                ("GET", _) if path.starts_with("/kv?") => {
                    let prefix = query(path, "starts").unwrap_or("");
                    let after = query(path, "from").unwrap_or("");
                    let entries: Vec<Value> = inner
                        .keys
                        .iter()
                        .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
                        .map(|(k, (data, mark, _))| json!({"k": k, "data": data, "mark": mark}))
                        .collect();
                    let most = 50;
                    let page = &entries[..entries.len().min(most)];
                    (
                        200,
                        json!({"entries": page, "truncated": entries.len() > most, "ledger": inner.ledger}),
                    )
                }
                _ => (400, json!({"error": path})),
            }
        };
        self.changed.notify_waiters();
        answer
    }

    async fn follow(&self, controller: &str, path: &str) -> Answer {
        let from: u64 = query(path, "from")
            .and_then(|n| n.parse().ok())
            .expect("from");
        let hold: u64 = query(path, "hold_ms")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(hold);
        if !self.lock().requests.take(1.0) {
            return (429, json!({}));
        }
        loop {
            let changed = self.changed.notified();
            {
                let mut inner = self.lock();
                let refused = inner.down || inner.refused.contains(controller);
                if refused && hold == 0 {
                    return (503, json!({}));
                }
                inner.expire();
                let at = inner.events.partition_point(|(mark, _)| *mark <= from);
                if !refused && (at < inner.events.len() || Instant::now() >= until) {
                    let events: Vec<&Value> =
                        inner.events[at..].iter().map(|(_, event)| event).collect();
                    return (200, json!({"ledger": inner.ledger, "events": events}));
                }
            }
            tokio::select! {
                biased;
                _ = changed => {}
                _ = tokio::time::sleep(Duration::from_millis(100)) => {}
            }
        }
    }

    /// Keys left, for scenarios that say how many there should be.
    pub fn keys(&self, prefix: &str) -> usize {
        let inner = self.lock();
        inner
            .keys
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }
}
