//! Explains which rule, version and upstream a request got or would get.

use super::*;
use sorreldeck::entry::{Chat, Payload, Request as EntryRequest};
use sorreldeck::route;
use sorreldeck::wire::Call;
use sorreldeck::{Failure, RequestId};

/// A hypothetical request to explain.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Description {
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
        let description: Description = serde_json::from_slice(&body)
            .map_err(|e| Refusal::new(400, "bad_request", e.to_string()))?;
        let operator = operator(&request)?;
        let tree = request.state().tree();
        operator.may_read(&tree, &Key::new(Section::Nodes, &description.node))?;
        let class = description.class.as_deref();
        let context = route::context(&tree, description.node.clone(), class).map_err(refusal_of)?;
        let entry_request = entry_request(request.state(), description)?;
        let explain = move |event_loop: &mut EventLoop| {
            let now = event_loop.clock.now();
            event_loop.entry.explain(now, context, entry_request)
        };
        let decision = query(&request, explain).await?;
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

fn entry_request(shared: &Shared, description: Description) -> Result<EntryRequest, Refusal> {
    let parsed = match (description.model, description.path) {
        (Some(model), None) => {
            let body = json!({"model": model, "messages": []}).to_string();
            let chat = Chat::from_slice(body.as_bytes()).map_err(refusal_of)?;
            Payload::Chat(Box::new(chat))
        }
        (None, Some(path)) => Payload::Plain(Call {
            method: description.method.unwrap_or_else(|| "GET".into()),
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
        class: description.class,
        session: description.session,
        at_most_once: false,
        idempotency_key: None,
        payload: parsed,
    })
}

pub(super) async fn explain_past(request: Request<Shared>) -> tide::Result {
    let answer = async {
        let operator = operator(&request)?;
        let id: RequestId = request.param("request").unwrap_or_default().parse()?;
        let decision = request
            .state()
            .query(move |event_loop| event_loop.entry.history().get(id).cloned())
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
