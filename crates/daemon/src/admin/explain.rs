//! Which rule, version and upstream a request got or would get, and why.

use super::*;
use sorreldeck::entry::{Chat, Payload, Request as EntryRequest};
use sorreldeck::route;
use sorreldeck::wire::Call;
use sorreldeck::{Failure, RequestId};

/// A request as an operator describes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Described {
    node: NodePath,
    model: Option<String>,
    path: Option<String>,
    #[serde(default)]
    method: Option<String>,
    class: Option<String>,
    session: Option<String>,
}

pub(super) async fn explain(mut request: Request<Shared>) -> tide::Result {
    let body = request.body_bytes().await?;
    let answer = async {
        let described: Described = serde_json::from_slice(&body)
            .map_err(|e| Refusal::new(400, "bad_request", e.to_string()))?;
        let operator = operator(&request)?;
        let tree = request.state().tree();
        operator.may_read(&tree, &Key::new(Section::Nodes, &described.node))?;
        let class = described.class.as_deref();
        let site = route::context(&tree, described.node.clone(), class).map_err(refusal_of)?;
        let asked = ask_of(request.state(), described)?;
        let explain = move |room: &mut EventLoop| {
            let now = room.clock.now();
            room.entry.explain(now, site, asked)
        };
        let decision = ask(&request, explain).await?;
        json_response(&decision.map_err(refusal_of)?)
    };
    reply(answer.await)
}

fn refusal_of(failure: Failure) -> Refusal {
    Refusal::new(
        failure.reason.status(),
        failure.reason.code(),
        failure.message,
    )
}

fn ask_of(shared: &Shared, described: Described) -> Result<EntryRequest, Refusal> {
    let what = match (described.model, described.path) {
        (Some(model), None) => {
            let body = json!({"model": model, "messages": []}).to_string();
            let chat = Chat::from_slice(body.as_bytes()).map_err(refusal_of)?;
            Payload::Chat(Box::new(chat))
        }
        (None, Some(path)) => Payload::Plain(Call {
            method: described.method.unwrap_or_else(|| "GET".into()),
            path,
            headers: Vec::new(),
            body: Vec::new(),
        }),
        _ => {
            let message = "describe either a model or a path";
            return Err(Refusal::new(400, "bad_request", message));
        }
    };
    Ok(EntryRequest {
        request: shared.next_request(),
        key: None,
        route: None,
        class: described.class,
        session: described.session,
        at_most_once: false,
        idempotency_key: None,
        payload: what,
    })
}

pub(super) async fn explain_past(request: Request<Shared>) -> tide::Result {
    let answer = async {
        let operator = operator(&request)?;
        let id: RequestId = request.param("request").unwrap_or_default().parse()?;
        let decision = request
            .state()
            .query(move |room| room.entry.history().get(id).cloned())
            .await
            .flatten();
        let decision = decision.ok_or_else(|| {
            let message = format!(
                "this entry does not remember the request; it was taken in by run {}",
                id.origin()
            );
            Refusal::new(404, "missing", message)
        })?;
        let node = decision.node.clone().unwrap_or_else(NodePath::root);
        let tree = request.state().tree();
        operator.may_read(&tree, &Key::new(Section::Nodes, &node))?;
        json_response(&decision)
    };
    reply(answer.await)
}
