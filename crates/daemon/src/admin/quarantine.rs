//! What is held back because upstreams crash under it, for operators of the whole tree.

use super::*;
use sorreldeck::entry::Input;
use sorreldeck::quarantine::{Fingerprint, Held};

/// Responds with what this entry holds back.
pub(super) async fn list(request: Request<Shared>) -> tide::Result {
    let answer = async {
        check_branch(&request)?;
        let held = query(&request, |event_loop| {
            let now = event_loop.clock.now();
            let held = event_loop.entry.quarantine(now);
            let held: Vec<Value> = held.iter().map(describe).collect();
            json!({ "held": held })
        });
        json_response(&held.await?)
    };
    reply(answer.await)
}

/// Lets a request or part be sent again at all entries.
pub(super) async fn lift(request: Request<Shared>) -> tide::Result {
    let answer = async {
        check_branch(&request)?;
        let name: Fingerprint = request.param("name").unwrap_or_default().parse()?;
        let lifted = query(&request, move |event_loop| {
            let now = event_loop.clock.now();
            let held = event_loop.entry.quarantine(now);
            event_loop.handle(Input::LiftQuarantine(name));
            held.iter().any(|h| h.fingerprint == name)
        });
        match lifted.await? {
            true => json_response(&json!({ "lifted": name.to_string() })),
            false => {
                let message = format!("{name} is not held back here");
                Err(Refusal::new(404, "missing", message))
            }
        }
    };
    reply(answer.await)
}

fn describe(held: &Held) -> Value {
    json!({
        "fingerprint": held.fingerprint.to_string(),
        "left_ms": held.left.millis(),
        "before": held.previous,
        "grounds": held.grounds.to_string(),
    })
}

/// Checks that the operator may act on the whole tree: what is held back is so for all branches.
fn check_branch(request: &Request<Shared>) -> Result<(), Refusal> {
    let operator = operator(request)?;
    match operator.branch == NodePath::root() {
        true => Ok(()),
        false => {
            let message = format!("{} has only a branch of the tree", operator.name);
            Err(Refusal::new(403, "denied", message))
        }
    }
}
