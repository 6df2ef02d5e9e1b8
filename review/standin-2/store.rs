//! The platform's metadata store: objects by kind and name, one revision counter, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::response;
use crate::json::Json;
use crate::json::object;

struct Change {
    revision: u64,
    kind: String,
    is_gone: bool,
    object: Json,
}

#[derive(Default)]
struct Content {
    objects: BTreeMap<(String, String), (u64, Json)>,
    changes: Vec<Change>,
    revision: u64,
}

#[derive(Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

fn stored(name: &str, revision: u64, spec: &Json) -> Json {
    object(vec![
        (
            "metadata",
            object(vec![
                ("name", name.into()),
                ("revision", revision.into()),
                ("created", 1.into()),
                ("finalizers", Json::List(vec![])),
                ("deleteRequested", Json::Bool(false)),
            ]),
        ),
        ("spec", spec.clone()),
        ("status", Json::Null),
    ])
}

impl Content {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, present)) = self.objects.get(&key)
            && *present == spec
        {
            return stored(name, *revision, &spec);
        }
        self.revision += 1;
        let object = stored(name, self.revision, &spec);
        self.objects.insert(key, (self.revision, spec));
        self.changes.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            is_gone: false,
            object: object.clone(),
        });
        object
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Content> {
        self.content.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.lock().put(kind, name, spec);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((_, spec)) = content.objects.remove(&key) {
            content.revision += 1;
            let revision = content.revision;
            content.changes.push(Change {
                revision,
                kind: kind.to_owned(),
                is_gone: true,
                object: stored(name, revision, &spec),
            });
        }
        self.changed.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Vec<u8> {
        let (status, body) = self.call(request);
        let json = [("Content-Type", "application/json"), ("Store-Era", "1")];
        response(status, &json, body.to_string().as_bytes())
    }

    fn call(&self, request: &Request) -> (u16, Json) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let field = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find_map(|(key, value)| (key == wanted).then(|| value.to_owned()))
        };
        match (request.method.as_str(), name) {
            ("GET", None) => match field("watch").and_then(|value| value.parse().ok()) {
                Some(since) => {
                    let wait = field("waitMs").and_then(|value| value.parse().ok());
                    self.watch(&kind, since, Duration::from_millis(wait.unwrap_or(0)))
                }
                None => {
                    let after = field("after").unwrap_or_default();
                    let content = self.lock();
                    let items = content.objects.iter();
                    let items = items
                        .filter(|((other, name), _)| *other == kind && *name > after)
                        .map(|((_, name), (revision, spec))| stored(name, *revision, spec));
                    let list = object(vec![
                        ("items", Json::List(items.collect())),
                        ("hasMore", Json::Bool(false)),
                        ("storeRevision", content.revision.into()),
                    ]);
                    (200, list)
                }
            },
            ("GET", Some(name)) => {
                let content = self.lock();
                match content.objects.get(&(kind, name.clone())) {
                    Some((revision, spec)) => (200, stored(&name, *revision, spec)),
                    None => (404, Json::Null),
                }
            }
            (method, name) => self.write(method, &kind, name, &request.body),
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<String>, body: &[u8]) -> (u16, Json) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, Json::Null);
        };
        let is_new = method == "POST";
        let name = name.unwrap_or_else(|| body.get("metadata").get("name").text().to_owned());
        let expected = body.get("metadata").get("revision").number();
        let mut content = self.lock();
        let key = (kind.to_owned(), name.clone());
        let answer = match content.objects.get(&key) {
            Some((revision, spec))
                if is_new || expected.is_some_and(|expected| expected != *revision) =>
            {
                (409, stored(&name, *revision, spec))
            }
            None if !is_new => (404, Json::Null),
            _ => (200, content.put(kind, &name, body.get("spec").clone())),
        };
        drop(content);
        self.changed.notify_all();
        answer
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, Json) {
        let end = Instant::now() + wait;
        let mut content = self.lock();
        loop {
            if since > content.revision {
                return (410, Json::Null);
            }
            let changes = content.changes.iter().rev();
            let mut events: Vec<Json> = changes
                .take_while(|change| change.revision > since)
                .filter(|change| change.kind == kind)
                .map(|change| {
                    object(vec![
                        ("isGone", Json::Bool(change.is_gone)),
                        ("object", change.object.clone()),
                    ])
                })
                .collect();
            events.reverse();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = object(vec![
                    ("events", Json::List(events)),
                    ("storeRevision", content.revision.into()),
                ]);
                return (200, answer);
            }
            let waited = self.changed.wait_timeout(content, left);
            content = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
