//! The administration API under `/admin/v1`.

use crate::callers::bearer_token;
use crate::clock;
use crate::entry::{EventLoop, Message, Shared};
use crate::propagation::{self, Outcome, Proposal, Transfer};
use crate::status;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use sorreldeck::tree::{self, Change, Edit, Key, Section, Tree};
use sorreldeck::{Category, Error, NodePath, Revision};
use std::collections::BTreeMap;
use std::sync::Arc;
use tide::{Body, Request, Response};

/// The header with the revision that a change is based on.
pub const IF_MATCH: &str = "if-match";
/// The header with the number by which a repeated change is recognised.
pub const TICKET: &str = "x-sorreldeck-ticket";

mod bill;
mod explain;
mod halls;
mod quarantine;

/// Adds the routes for operators.
pub fn routes(app: &mut tide::Server<Shared>) {
    app.at("/admin/v1/tree").get(tree_of);
    app.at("/admin/v1/entries/*key").get(entry);
    app.at("/admin/v1/effective").get(effective);
    app.at("/admin/v1/effective/*path").get(effective);
    app.at("/admin/v1/changes").post(change);
    app.at("/admin/v1/changes/:ticket").get(change_by_ticket);
    app.at("/admin/v1/versions/:name/withdraw").post(withdraw);
    app.at("/admin/v1/rollouts/:name/:intent").post(set_intent);
    app.at("/admin/v1/status").get(show_status);
    app.at("/admin/v1/halls/:hall").get(halls::evacuation);
    app.at("/admin/v1/quarantine").get(quarantine::list);
    app.at("/admin/v1/quarantine/:name/lift")
        .post(quarantine::lift);
    app.at("/admin/v1/bill").get(bill::bill);
    app.at("/admin/v1/explain").post(explain::explain);
    app.at("/admin/v1/explain/:request")
        .get(explain::explain_past);
}

/// An authenticated operator and the branch of the tree it may access.
struct Operator {
    name: String,
    branch: NodePath,
}

/// The error of an operator's call.
struct Refusal {
    status: u16,
    code: &'static str,
    message: String,
    detail: Value,
}

impl Refusal {
    fn new(status: u16, code: &'static str, message: impl Into<String>) -> Refusal {
        Refusal {
            status,
            code,
            message: message.into(),
            detail: Value::Null,
        }
    }

    fn response(self) -> Response {
        let body = json!({"error": {
            "code": self.code,
            "message": self.message,
            "detail": self.detail,
        }});
        Response::builder(self.status).body(body).build()
    }
}

impl From<Error> for Refusal {
    fn from(e: Error) -> Refusal {
        let (status, code) = match e.classify() {
            Category::Invalid => (422, "invalid"),
            Category::Conflict => (409, "conflict"),
            Category::Denied => (403, "denied"),
            Category::Missing => (404, "missing"),
            Category::Unavailable => (503, "unavailable"),
        };
        let mut refusal = Refusal::new(status, code, e.to_string());
        refusal.detail = json!({"place": e.place()});
        refusal
    }
}

type Answer = Result<Response, Refusal>;

fn reply(answer: Answer) -> tide::Result {
    Ok(answer.unwrap_or_else(Refusal::response))
}

fn json_response(value: &impl Serialize) -> Answer {
    let body = Body::from_json(value).map_err(|e| Refusal::new(500, "internal", e.to_string()))?;
    Ok(Response::builder(200).body(body).build())
}

fn operator(request: &Request<Shared>) -> Result<Operator, Refusal> {
    let token = bearer_token(request).ok_or_else(|| {
        Refusal::new(
            401,
            "no_token",
            "send an operator's token as a bearer token",
        )
    })?;
    let shared = request.state();
    if shared.root_token.as_deref() == Some(tree::hash_key(&token).as_str()) {
        return Ok(Operator {
            name: "root".into(),
            branch: NodePath::root(),
        });
    }
    let tree = shared.tree();
    let found = tree.operator_of_token(&token);
    let (name, operator) =
        found.ok_or_else(|| Refusal::new(401, "bad_token", "the operator's token is not known"))?;
    Ok(Operator {
        name: name.to_string(),
        branch: operator.branch.clone(),
    })
}

impl Operator {
    fn sees(&self, tree: &Tree, key: &Key) -> bool {
        tree.owner(key).is_within(&self.branch)
    }

    /// Checks that the operator may read an entry.
    fn may_read(&self, tree: &Tree, key: &Key) -> Result<(), Refusal> {
        match self.sees(tree, key) {
            true => Ok(()),
            false => Err(self.outside(key)),
        }
    }

    /// Checks that the owner of the edited entry is within the branch, both before and after
    /// the edit.
    fn may_edit(&self, tree: &Tree, edit: &Edit) -> Result<(), Refusal> {
        if edit.key.section == Section::Progress {
            let message = "the record of a roll-out is written by its controller only";
            return Err(Refusal::new(403, "denied", message));
        }
        let after = match (&edit.new, edit.key.section) {
            (_, Section::Nodes) | (None, _) => true,
            (Some(new), _) => new_owner(new).is_within(&self.branch),
        };
        let known = tree.entries().contains_key(&edit.key);
        let before = match (known, edit.key.section) {
            (false, section) if section != Section::Nodes => true,
            _ => self.sees(tree, &edit.key),
        };
        match after && before {
            true => Ok(()),
            false => Err(self.outside(&edit.key)),
        }
    }

    fn outside(&self, key: &Key) -> Refusal {
        let message = format!(
            "{key} lies outside the branch {} of {}",
            self.branch, self.name
        );
        Refusal::new(403, "denied", message)
    }
}

fn new_owner(entry: &Value) -> NodePath {
    let owner = entry.get("owner").and_then(Value::as_str);
    owner
        .and_then(|o| o.parse().ok())
        .unwrap_or_else(NodePath::root)
}

#[derive(Serialize)]
struct Listing {
    revision: Revision,
    entries: BTreeMap<String, Value>,
}

async fn tree_of(request: Request<Shared>) -> tide::Result {
    reply((|| {
        let operator = operator(&request)?;
        let tree = request.state().tree();
        let visible = tree
            .entries()
            .iter()
            .filter(|(k, _)| operator.sees(&tree, k));
        json_response(&Listing {
            revision: tree.revision(),
            entries: visible.map(|(k, v)| (k.to_string(), v.clone())).collect(),
        })
    })())
}

async fn entry(request: Request<Shared>) -> tide::Result {
    reply((|| {
        let operator = operator(&request)?;
        let tree = request.state().tree();
        let key: Key = request.param("key").unwrap_or_default().parse()?;
        operator.may_read(&tree, &key)?;
        let value = tree
            .entries()
            .get(&key)
            .ok_or_else(|| Refusal::new(404, "missing", format!("there is no entry {key}")))?;
        json_response(&json!({"revision": tree.revision(), "key": key, "value": value}))
    })())
}

async fn effective(request: Request<Shared>) -> tide::Result {
    reply((|| {
        let operator = operator(&request)?;
        let tree = request.state().tree();
        let path: NodePath = format!("/{}", request.param("path").unwrap_or_default()).parse()?;
        operator.may_read(&tree, &Key::new(Section::Nodes, &path))?;
        let origins = tree
            .origins(&path)
            .ok_or_else(|| Refusal::new(404, "missing", format!("there is no node {path}")))?;
        json_response(&json!({
            "revision": tree.revision(),
            "node": path,
            "settings": origins,
        }))
    })())
}

/// The body of a request for a change.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    /// A document with the entries to insert or replace.
    document: Option<String>,
    /// The format of the document: `toml` or `json`.
    #[serde(default)]
    format: Format,
    /// The entries to remove.
    #[serde(default)]
    remove: Vec<Key>,
    /// Whether to remove the entries of the branch that are not in the document.
    #[serde(default)]
    prune: bool,
    /// Whether to check the change and return its edits without submitting it.
    #[serde(default)]
    dry_run: bool,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Format {
    #[default]
    Toml,
    Json,
}

async fn change(mut request: Request<Shared>) -> tide::Result {
    let body = request.body_bytes().await?;
    let answer = async {
        let change_request: ChangeRequest = serde_json::from_slice(&body)
            .map_err(|e| Refusal::new(400, "bad_request", e.to_string()))?;
        let operator = operator(&request)?;
        let tree = request.state().tree();
        let edits = edits_of(&operator, &tree, &change_request)?;
        if change_request.dry_run {
            return dry_run(&operator, &tree, &edits);
        }
        submit(&request, &operator, tree, edits).await
    };
    reply(answer.await)
}

fn edits_of(
    operator: &Operator,
    tree: &Tree,
    change_request: &ChangeRequest,
) -> Result<Vec<Edit>, Refusal> {
    let put = match (&change_request.document, change_request.format) {
        (None, _) => BTreeMap::new(),
        (Some(text), Format::Toml) => tree::parse_toml(text)?,
        (Some(text), Format::Json) => tree::parse_json(text)?,
    };
    let mut edits = Vec::new();
    for (key, value) in &put {
        let old = tree.entries().get(key);
        if old != Some(value) {
            edits.push(Edit {
                key: key.clone(),
                old: old.cloned(),
                new: Some(value.clone()),
            });
        }
    }
    for (key, old) in tree.entries() {
        let pruned = change_request.prune
            && !put.contains_key(key)
            && key.section != Section::Progress
            && operator.sees(tree, key);
        if pruned || change_request.remove.contains(key) {
            edits.push(Edit {
                key: key.clone(),
                old: Some(old.clone()),
                new: None,
            });
        }
    }
    let missing = change_request
        .remove
        .iter()
        .find(|k| !tree.entries().contains_key(k));
    if let Some(key) = missing {
        return Err(Refusal::new(
            404,
            "missing",
            format!("there is no entry {key}"),
        ));
    }
    Ok(edits)
}

fn dry_run(operator: &Operator, tree: &Tree, edits: &[Edit]) -> Answer {
    for edit in edits {
        operator.may_edit(tree, edit)?;
    }
    tree.with(edits, tree.revision().next())?;
    json_response(&json!({"revision": tree.revision(), "accepted": false, "edits": edits}))
}

/// Submits a change and returns the response for its outcome.
async fn submit(
    request: &Request<Shared>,
    operator: &Operator,
    tree: Arc<Tree>,
    edits: Vec<Edit>,
) -> Answer {
    let shared = request.state();
    let ticket = ticket(request)?;
    // A submission that is repeated because its answer was lost must not take effect twice.
    if let Some(change) = find_accepted(shared, ticket).await {
        return accepted(&change);
    }
    let base: Revision = match request.header(IF_MATCH) {
        Some(value) => value.as_str().trim_matches('"').parse()?,
        None => {
            let message = "state the revision that the change is based on in if-match";
            return Err(Refusal::new(428, "no_revision", message));
        }
    };
    if base != tree.revision() {
        return Err(conflict(base, tree.revision()));
    }
    for edit in &edits {
        operator.may_edit(&tree, edit)?;
    }
    if edits.is_empty() {
        let unchanged = json!({"revision": tree.revision(), "accepted": true, "edits": []});
        return json_response(&unchanged);
    }
    let proposal = Proposal {
        author: operator.name.clone(),
        ticket,
        edits,
        lease: None,
    };
    match propagation::submit(&shared.platform, &tree, proposal).await? {
        Outcome::Accepted(change) => {
            let transfer = Transfer::Changes(vec![change.clone()]);
            // Applied here before the response, so that the operator's next call sees it.
            shared
                .query(move |event_loop| event_loop.apply(transfer))
                .await;
            accepted(&change)
        }
        Outcome::Conflict(revision) => Err(conflict(base, revision)),
        Outcome::Unknown(message) => {
            let message = format!("whether the change was accepted is not known; repeat it with the same ticket: {message}");
            let mut refusal = Refusal::new(504, "unknown", message);
            refusal.detail = json!({"ticket": format!("{ticket:016x}")});
            Err(refusal)
        }
        Outcome::Unavailable(message) => Err(Refusal::new(503, "store_down", message)),
    }
}

fn ticket(request: &Request<Shared>) -> Result<u64, Refusal> {
    match request.header(TICKET) {
        None => Ok(u64::from_le_bytes(clock::random())),
        Some(value) => parse_ticket(value.as_str()),
    }
}

fn parse_ticket(text: &str) -> Result<u64, Refusal> {
    u64::from_str_radix(text, 16).map_err(|_| {
        Refusal::new(
            400,
            "bad_request",
            "a ticket is a number of up to 16 hexadecimal digits",
        )
    })
}

/// Returns the accepted change with a ticket, if it is among the retained ones.
async fn find_accepted(shared: &Shared, ticket: u64) -> Option<Change> {
    // Fetches changes that were accepted through other entries in the meantime.
    let known = shared.tree().revision();
    if let Ok(Some(transfer)) = propagation::fetch(&shared.platform, known).await {
        let _ = shared.send.send(Message::Config(transfer)).await;
    }
    let find = move |event_loop: &mut crate::entry::EventLoop| {
        let changes = event_loop
            .config
            .since(Revision(0))
            .or_else(|| event_loop.config.retained());
        changes.and_then(|all| all.into_iter().find(|c| c.ticket == ticket))
    };
    shared.query(find).await.flatten()
}

fn accepted(change: &Change) -> Answer {
    json_response(&json!({
        "revision": change.revision,
        "accepted": true,
        "ticket": format!("{:016x}", change.ticket),
        "edits": change.edits,
    }))
}

fn conflict(base: Revision, now: Revision) -> Refusal {
    let message = format!("the change is based on revision {base}, but revision {now} is accepted; nothing was changed");
    let mut refusal = Refusal::new(409, "conflict", message);
    refusal.detail = json!({"base": base, "revision": now});
    refusal
}

async fn change_by_ticket(request: Request<Shared>) -> tide::Result {
    let answer = async {
        operator(&request)?;
        let ticket = parse_ticket(request.param("ticket").unwrap_or_default())?;
        match find_accepted(request.state(), ticket).await {
            Some(change) => accepted(&change),
            None => Err(Refusal::new(
                404,
                "missing",
                "no change with this ticket is among the last ones accepted",
            )),
        }
    };
    reply(answer.await)
}

/// Submits a change that sets one field of an entry.
async fn set_field(request: &Request<Shared>, key: Key, field: &str, value: Value) -> Answer {
    let operator = operator(request)?;
    let tree = request.state().tree();
    let old = tree.entries().get(&key).cloned();
    let Some(Value::Object(mut fields)) = old.clone() else {
        return Err(Refusal::new(
            404,
            "missing",
            format!("there is no entry {key}"),
        ));
    };
    fields.insert(field.to_owned(), value);
    let new = Some(Value::Object(fields));
    if new == old {
        let unchanged = json!({"revision": tree.revision(), "accepted": true, "edits": []});
        return json_response(&unchanged);
    }
    let edit = Edit { key, old, new };
    submit(request, &operator, tree, vec![edit]).await
}

async fn withdraw(request: Request<Shared>) -> tide::Result {
    let key = Key::new(Section::Versions, request.param("name").unwrap_or_default());
    reply(set_field(&request, key, "state", "withdrawn".into()).await)
}

async fn set_intent(request: Request<Shared>) -> tide::Result {
    let key = Key::new(Section::Rollouts, request.param("name").unwrap_or_default());
    let intent = match request.param("intent").unwrap_or_default() {
        "start" => "running",
        "pause" => "paused",
        "abort" => "aborted",
        other => {
            let message = format!("a roll-out cannot {other:?}: start, pause and abort are known");
            return reply(Err(Refusal::new(404, "missing", message)));
        }
    };
    reply(set_field(&request, key, "intent", intent.into()).await)
}

/// Runs a closure on the entry's event loop and returns its result.
async fn query<T: Send + 'static>(
    request: &Request<Shared>,
    query: impl FnOnce(&mut EventLoop) -> T + Send + 'static,
) -> Result<T, Refusal> {
    let answer = request.state().query(query).await;
    answer.ok_or_else(|| Refusal::new(503, "leaving", "this entry has stopped"))
}

async fn show_status(request: Request<Shared>) -> tide::Result {
    let answer = async {
        let operator = operator(&request)?;
        let status = query(&request, move |event_loop| status_of(event_loop, &operator)).await?;
        json_response(&status)
    };
    reply(answer.await)
}

fn status_of(event_loop: &mut EventLoop, operator: &Operator) -> Value {
    let tree = event_loop.entry.tree().clone();
    let now = event_loop.clock.now();
    let upstreams = status::upstreams(&event_loop.entry, now);
    let rollouts: Vec<Value> = tree
        .rollouts()
        .iter()
        .filter(|(name, _)| operator.sees(&tree, &Key::new(Section::Rollouts, name)))
        .map(|(name, rollout)| {
            json!({
                "rollout": name,
                "to": rollout.to,
                "intent": rollout.intent,
                "record": tree.record(name),
                "held_back_here": event_loop.entry.monitor().is_suspect(&rollout.to),
            })
        })
        .collect();
    json!({
        "revision": tree.revision(),
        "in_flight": event_loop.entry.in_flight(),
        "unbilled": event_loop.entry.unbilled(),
        "evacuated": event_loop.entry.peers().hall_states().evacuated(),
        "instances": event_loop.instances,
        "upstreams": upstreams,
        "rollouts": rollouts,
    })
}
