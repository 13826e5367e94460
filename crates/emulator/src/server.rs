//! Serves the emulated platform over HTTP and JSON, with endpoints that inject faults.

use crate::quality::{Quality, Skill};
use crate::text;
use async_std::net::TcpListener;
use async_std::task;
use serde::Serialize;
use sorreldeck_net::http;
use sorreldeck_net::open::Bound;
use sorreldeck_net::platform::{Answer, Faults, Instance, Memory, Transaction, Trouble};
use std::collections::BTreeMap;
use std::sync::Arc;
use tide::{Body, Request, Response};

#[derive(Clone)]
struct State {
    memory: Arc<Memory>,
    quality: Quality,
}

/// Serves a platform on a listener; answers are rated by the quality of their version.
pub fn serve_on(listener: TcpListener, memory: Arc<Memory>, quality: Quality) {
    install_rater(&memory, quality.clone());
    let mut app = tide::with_state(State { memory, quality });
    app.at("/table/row/*key").get(get);
    app.at("/table/list/").get(list);
    app.at("/table/list/*key").get(list);
    app.at("/table/commit").post(commit);
    app.at("/objects/*key").put(put_object).get(get_object);
    app.at("/object-names/*key").get(list_objects);
    app.at("/instances").get(instances).post(set_instances);
    app.at("/rate").post(rate);
    app.at("/faults").post(faults);
    app.at("/calls").get(calls);
    app.at("/skills").post(skills);
    task::spawn(http::serve(listener, app, Bound::None));
}

/// Makes a platform rate answers by the quality of their version.
pub fn install_rater(memory: &Memory, quality: Quality) {
    memory.set_rater(move |answer| {
        let seed = text::seed_of(&answer.text)?;
        Some(quality.score(answer.version.as_str(), seed))
    });
}

fn reply<T: Serialize>(result: Result<T, Trouble>) -> tide::Result {
    match result {
        Ok(value) => Ok(Body::from_json(&value)?.into()),
        Err(Trouble::Down(message)) => Ok(refusal(503, message)),
        Err(Trouble::Unknown(message)) => Ok(refusal(504, message)),
        Err(Trouble::Refused(message)) => Ok(refusal(400, message)),
    }
}

fn refusal(status: u16, message: String) -> Response {
    Response::builder(status).body(message).build()
}

fn key(request: &Request<State>) -> String {
    request.param("key").unwrap_or_default().to_owned()
}

async fn get(request: Request<State>) -> tide::Result {
    reply(request.state().memory.get(&key(&request)).await)
}

async fn list(request: Request<State>) -> tide::Result {
    reply(request.state().memory.list(&key(&request)).await)
}

async fn commit(mut request: Request<State>) -> tide::Result {
    let transaction: Transaction = request.body_json().await?;
    reply(request.state().memory.commit(&transaction).await)
}

async fn put_object(mut request: Request<State>) -> tide::Result {
    let data = request.body_bytes().await?;
    let name = key(&request);
    reply(request.state().memory.put_object(&name, data).await)
}

async fn get_object(request: Request<State>) -> tide::Result {
    match request.state().memory.get_object(&key(&request)).await {
        Ok(Some(data)) => Ok(Response::builder(200).body(data).build()),
        Ok(None) => Ok(Response::new(404)),
        Err(error) => reply::<()>(Err(error)),
    }
}

async fn list_objects(request: Request<State>) -> tide::Result {
    reply(request.state().memory.list_objects(&key(&request)).await)
}

async fn instances(request: Request<State>) -> tide::Result {
    reply(request.state().memory.instances().await)
}

async fn set_instances(mut request: Request<State>) -> tide::Result {
    let list: Vec<Instance> = request.body_json().await?;
    request.state().memory.set_instances(list);
    Ok(Response::new(204))
}

async fn rate(mut request: Request<State>) -> tide::Result {
    let answer: Answer = request.body_json().await?;
    reply(request.state().memory.rate(&answer).await)
}

async fn faults(mut request: Request<State>) -> tide::Result {
    let faults: Faults = request.body_json().await?;
    request.state().memory.set_faults(faults);
    Ok(Response::new(204))
}

async fn calls(request: Request<State>) -> tide::Result {
    reply(Ok(request.state().memory.calls()))
}

async fn skills(mut request: Request<State>) -> tide::Result {
    let skills: BTreeMap<String, String> = request.body_json().await?;
    for (version, skill) in skills {
        match skill.parse::<Skill>() {
            Ok(skill) => request.state().quality.set(&version, skill),
            Err(message) => return Ok(refusal(400, message)),
        }
    }
    Ok(Response::new(204))
}
