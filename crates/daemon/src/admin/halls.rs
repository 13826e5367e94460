//! The expected impact of evacuating a data hall.

use super::*;
use sorreldeck::pick::Impact;
use sorreldeck::Hall;

/// The impact on a pool, and whether its other data halls have event_loop for the moved requests.
#[derive(Serialize)]
struct PoolImpact {
    #[serde(flatten)]
    impact: Impact,
    #[serde(rename = "borne")]
    fits: bool,
}

/// Responds with the impact of evacuating a data hall, from the load known to this entry.
pub(super) async fn evacuation(request: Request<Shared>) -> tide::Result {
    let answer = async {
        operator(&request)?;
        let hall: Hall = request.param("hall").unwrap_or_default().parse()?;
        let impact = query(&request, move |event_loop| impact_of(event_loop, &hall)).await?;
        json_response(&impact)
    };
    reply(answer.await)
}

fn impact_of(event_loop: &mut EventLoop, hall: &Hall) -> Value {
    let peers = event_loop.entry.peers();
    let pools = peers
        .evacuation_impact(hall)
        .into_iter()
        .map(|impact| PoolImpact {
            fits: impact.fits(),
            impact,
        });
    let pools: Vec<PoolImpact> = pools.collect();
    json!({
        "hall": hall,
        "evacuated": !peers.hall_states().is_open(Some(hall)),
        "pools": pools,
    })
}
