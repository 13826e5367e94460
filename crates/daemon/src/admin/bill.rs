//! The bills of client accounts, computed from the records in the object store.

use super::*;
use sorreldeck::bill::{Line, Record, Total};
use sorreldeck_net::Platform;

#[derive(Deserialize)]
struct Query {
    day: Option<u32>,
}

#[derive(Serialize, Deserialize)]
struct BillLine {
    #[serde(flatten)]
    line: Line,
    #[serde(flatten)]
    total: Total,
}

pub(super) async fn bill(request: Request<Shared>) -> tide::Result {
    let answer = async {
        let operator = operator(&request)?;
        let query: Query = request
            .query()
            .map_err(|e| Refusal::new(400, "bad_request", e.to_string()))?;
        let records = read_bill(&request.state().platform, query.day)
            .await
            .map_err(|e| Refusal::new(503, "store_down", e.to_string()))?;
        let tree = request.state().tree();
        let own = records.iter().filter(|r| is_within(&tree, &operator, r));
        let lines: Vec<BillLine> = Total::add_up(own)
            .into_iter()
            .map(|(line, total)| BillLine { line, total })
            .collect();
        json_response(&json!({"lines": lines}))
    };
    reply(answer.await)
}

/// Returns whether the client account of a record belongs to the operator's branch.
fn is_within(tree: &Tree, operator: &Operator, record: &Record) -> bool {
    if operator.branch == NodePath::root() {
        return true;
    }
    let node = tree
        .nodes()
        .iter()
        .find(|(_, n)| n.account.as_ref() == Some(&record.account));
    node.is_some_and(|(path, _)| path.is_within(&operator.branch))
}

async fn read_bill(platform: &Platform, day: Option<u32>) -> eyre::Result<Vec<Record>> {
    let prefix = match day {
        Some(day) => format!("bill/{day}/"),
        None => "bill/".to_owned(),
    };
    let mut records = Vec::new();
    for name in platform.list_objects(&prefix).await? {
        if let Some(data) = platform.get_object(&name).await? {
            let batch: Vec<Record> = serde_json::from_slice(&data)?;
            records.extend(batch);
        }
    }
    Ok(records)
}
