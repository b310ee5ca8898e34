//! The platform's metadata store: lists, watches and conditional writes, one revision counter, no
//! faults but a replica that lags.

use crate::{
    http::{self, Answer, Request},
    json::{Json, quote},
};
use std::{
    collections::BTreeMap,
    io::Result,
    net::{SocketAddrV4, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Time that the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Objects in one page of a list.
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: String,
}

impl Object {
    fn encode(&self, name: &str) -> String {
        format!(
            "{{\"meta\":{{\"name\":{},\"rev\":{},\"created\":{},\"finalizers\":[],\"deleting\":false}},\
             \"spec\":{},\"status\":null}}",
            quote(name),
            self.rev,
            self.created,
            self.spec
        )
    }
}

type Kinds = BTreeMap<String, BTreeMap<String, Object>>;

struct Event {
    rev: u64,
    kind: String,
    text: String,
}

struct State {
    rev: u64,
    kinds: Kinds,
    history: Vec<Event>,
    /// States from which answers that may be old are given: time, revision and objects.
    past: Vec<(Instant, u64, Kinds)>,
    /// Age of answers that may be old.
    replica_lag: Duration,
}

/// Handle to the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Creates the store, which answers at the addresses that [`Store::listen`] adds.
    pub fn new(replica_lag: Duration) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                rev: 1,
                kinds: Kinds::new(),
                history: Vec::new(),
                past: vec![(Instant::now(), 1, Kinds::new())],
                replica_lag,
            })),
            changed: Arc::default(),
        }
    }

    /// Answers at an address, over links that carry at most `link` bytes a second.
    pub fn listen(&self, address: SocketAddrV4, link: Option<usize>) -> Result<()> {
        let served = self.clone();
        http::serve_over(TcpListener::bind(address)?, link, move |request| {
            thread::sleep(ANSWER_TIME);
            let mut answer = served.answer(request);
            answer.headers.push_str("Store-Era: 1\r\n");
            answer
        });
        Ok(())
    }

    /// Writes an object, as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.lock();
        state.write(kind, name, spec);
        drop(state);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, request: &Request) -> Answer {
        let Some(rest) = request.path.strip_prefix("/cardamomloom/objects/") else {
            return answer(404, "{}".into());
        };
        let mut parts = rest.split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        match (request.method.as_str(), name) {
            ("GET", None) if request.query("watch").is_some() => self.watch(kind, request),
            ("GET", None) => self.list(kind, request),
            ("GET", Some(name)) => match self.lock().object(kind, name) {
                Some(object) => answer(200, object.encode(name)),
                None => answer(404, "{}".into()),
            },
            ("POST", None) => self.create(kind, &request.body),
            ("DELETE", Some(name)) => self.conditional_delete(kind, name, request),
            _ => answer(405, "{}".into()),
        }
    }

    fn list(&self, kind: &str, request: &Request) -> Answer {
        let state = self.lock();
        let may_be_old = request.query("stale_ok") == Some("1");
        let (rev, kinds) = if may_be_old && !state.replica_lag.is_zero() {
            let at = Instant::now() - state.replica_lag;
            let past = state.past.iter().rev().find(|(time, _, _)| *time <= at);
            let (_, rev, kinds) = past.unwrap_or(&state.past[0]);
            (*rev, kinds)
        } else {
            (state.rev, &state.kinds)
        };
        let after = request.query("after").unwrap_or_default();
        let all: Vec<String> = kinds
            .get(kind)
            .into_iter()
            .flatten()
            .filter(|(name, _)| name.as_str() > after)
            .map(|(name, object)| object.encode(name))
            .collect();
        let page = all[..all.len().min(PAGE)].join(",");
        let has_more = all.len() > PAGE;
        answer(
            200,
            format!("{{\"items\":[{page}],\"has_more\":{has_more},\"current_rev\":{rev}}}"),
        )
    }

    fn watch(&self, kind: &str, request: &Request) -> Answer {
        let number = |name| -> u64 {
            request
                .query(name)
                .and_then(|value| value.parse().ok())
                .unwrap_or(0)
        };
        let (from, wait) = (number("watch"), number("wait_ms").min(30_000));
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        if from > state.rev {
            return answer(410, "{}".into());
        }
        loop {
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|event| event.rev > from && event.kind == kind)
                .map(|event| event.text.as_str())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let rev = state.rev;
                return answer(
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{rev}}}"),
                );
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> Answer {
        let Some(body) = Json::parse(body) else {
            return answer(400, "{}".into());
        };
        let Some(name) = body.get("meta").get("name").text() else {
            return answer(400, "{}".into());
        };
        let mut state = self.lock();
        if let Some(object) = state.object(kind, name) {
            return answer(409, object.encode(name));
        }
        let text = state.write(kind, name, &body.get("spec").encode());
        drop(state);
        self.changed.notify_all();
        answer(200, text)
    }

    fn conditional_delete(&self, kind: &str, name: &str, request: &Request) -> Answer {
        let mut state = self.lock();
        let Some(object) = state.object(kind, name) else {
            return answer(404, "{}".into());
        };
        let rev = request.query("rev").and_then(|rev| rev.parse::<u64>().ok());
        if rev.is_some_and(|rev| rev != object.rev) {
            return answer(409, object.encode(name));
        }
        state.remove(kind, name);
        drop(state);
        self.changed.notify_all();
        answer(200, "{}".into())
    }
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<&Object> {
        self.kinds.get(kind)?.get(name)
    }

    /// Writes an object and returns its text. The same content changes nothing.
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        if let Some(object) = self.object(kind, name).filter(|object| object.spec == spec) {
            return object.encode(name);
        }
        self.rev += 1;
        let object = Object {
            rev: self.rev,
            created: self
                .object(kind, name)
                .map_or(self.rev, |object| object.created),
            spec: spec.into(),
        };
        let text = object.encode(name);
        let objects = self.kinds.entry(kind.into()).or_default();
        objects.insert(name.into(), object);
        self.note(kind, format!("{{\"deleted\":false,\"object\":{text}}}"));
        text
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let removed = self
            .kinds
            .get_mut(kind)
            .and_then(|objects| objects.remove(name));
        if let Some(object) = removed {
            self.rev += 1;
            let text = object.encode(name);
            self.note(kind, format!("{{\"deleted\":true,\"object\":{text}}}"));
        }
    }

    fn note(&mut self, kind: &str, text: String) {
        self.history.push(Event {
            rev: self.rev,
            kind: kind.into(),
            text,
        });
        self.past
            .push((Instant::now(), self.rev, self.kinds.clone()));
    }
}

fn answer(status: u16, body: String) -> Answer {
    Answer {
        status,
        headers: String::new(),
        body,
    }
}
