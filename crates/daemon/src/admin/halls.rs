//! What emptying a data hall would move.

use super::*;
use sorreldeck::pick::Impact;
use sorreldeck::Hall;

/// One pool, with the answer to whether the others bear what moves.
#[derive(Serialize)]
struct PoolRelief {
    #[serde(flatten)]
    relief: Impact,
    borne: bool,
}

/// Answers what emptying a data hall would move, from the load that this entry knows of.
pub(super) async fn relief(request: Request<Shared>) -> tide::Result {
    let answer = async {
        operator(&request)?;
        let hall: Hall = request.param("hall").unwrap_or_default().parse()?;
        let told = ask(&request, move |room| relief_of(room, &hall)).await?;
        json_response(&told)
    };
    reply(answer.await)
}

fn relief_of(room: &mut EventLoop, hall: &Hall) -> Value {
    let peers = room.entry.peers();
    let pools = peers
        .evacuation_impact(hall)
        .into_iter()
        .map(|relief| PoolRelief {
            borne: relief.fits(),
            relief,
        });
    let pools: Vec<PoolRelief> = pools.collect();
    json!({
        "hall": hall,
        "evacuated": !peers.hall_states().is_open(Some(hall)),
        "pools": pools,
    })
}
