//! Notices of upstreams in the headers of their answers, over sockets. The tests of the decisions,
//! `named_rate`, `leaving_in_answers` and `rest_asked_for`, describe the cases.

use super::*;
use test_case::test_case;

/// Makes calls until an upstream has got one.
async fn until_asked(harness: &Harness, upstream: usize, path: &str) {
    let before = harness.upstreams[upstream].seen().len();
    eventually("the upstream gets a request", || async {
        harness.call(path).await;
        harness.upstreams[upstream].seen().len() > before
    })
    .await;
}

#[test_case("/once/body"; "a good answer")]
#[test_case("/once/error"; "an error")]
#[test_case("/once/full"; "a refusal")]
#[test_case("/once/foreign"; "an answer to another request")]
#[test_case("/once/unsigned"; "an answer without a receipt")]
fn an_upstream_that_announces_its_leaving_gets_no_new_requests(path: &str) {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.upstreams[0].set_headers("server-leaving: 1\r\n");
        until_asked(&harness, 0, path).await;
        // Longer than an upstream is avoided after a failure.
        task::sleep(Duration::from_millis(1_200)).await;
        assert_eq!(harness.count_reaching(0, 12).await, 0);
        assert!(
            harness.count_reaching(1, 1).await > 0,
            "the other one still gets requests"
        );
    });
}

#[test]
fn a_stream_with_a_leaving_notice_is_delivered_completely() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.upstreams[2].set_headers("server-leaving: 1\r\n");
        until_asked(&harness, 2, "/talk/stream").await;
        let before = harness.upstreams[2].seen().len();
        for _ in 0..12 {
            let answer = harness.call("/talk/stream").await;
            assert!(answer.contains("id: 2\ndata: b"), "{answer}");
        }
        assert_eq!(harness.upstreams[2].seen().len(), before);
    });
}

#[test]
fn an_entry_learns_from_another_that_an_upstream_leaves() {
    task::block_on(async {
        let harness = Harness::start().await;
        let other = start_entry(&harness.store, "front-2", &[]).await;
        until_ready(&other).await;
        task::sleep(Duration::from_millis(1_500)).await;
        harness.upstreams[0].set_headers("server-leaving: 1\r\n");
        until_asked(&harness, 0, "/once/body").await;
        task::sleep(Duration::from_millis(1_000)).await;
        let before = harness.upstreams[0].seen().len();
        for _ in 0..12 {
            let answer = ask(other.callers, &request("/once/body", "")).await;
            assert_eq!(status(&answer), 200, "{answer}");
        }
        assert_eq!(harness.upstreams[0].seen().len(), before);
    });
}

#[test]
fn an_upstream_with_a_rate_limit_gets_no_more_requests() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.upstreams[0].set_headers("server-limit: 2\r\n");
        until_asked(&harness, 0, "/once/body").await;
        let before = harness.upstreams[0].seen().len();
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(4) {
            assert_eq!(status(&harness.call("/once/body").await), 200);
            task::sleep(Duration::from_millis(20)).await;
        }
        let got = harness.upstreams[0].seen().len() - before;
        // 2/s over 4 s, and the burst that the limiter allows.
        assert!((4..=10).contains(&got), "{got} in 4 s");
        harness.upstreams[0].set_headers("");
        until_asked(&harness, 0, "/once/body").await;
        assert!(
            harness.count_reaching(0, 40).await > 5,
            "it gets its share again"
        );
    });
}

#[test]
fn the_retry_after_time_of_an_upstream_is_kept() {
    task::block_on(async {
        let harness = Harness::start().await;
        harness.upstreams[0].set_headers("retry-after: 2\r\n");
        until_asked(&harness, 0, "/once/full").await;
        let rested = Instant::now();
        // Longer than an upstream is avoided after a refusal alone.
        task::sleep(Duration::from_millis(1_000)).await;
        let mut got = 0;
        while rested.elapsed() < Duration::from_millis(1_800) {
            got += harness.count_reaching(0, 1).await;
        }
        assert_eq!(got, 0);
        task::sleep(Duration::from_millis(400)).await;
        assert!(
            harness.count_reaching(0, 12).await > 0,
            "it gets requests again"
        );
    });
}

#[test]
fn callers_get_a_retry_after_if_all_upstreams_asked_for_one() {
    task::block_on(async {
        let harness = Harness::start().await;
        for upstream in &harness.upstreams {
            upstream.set_headers("retry-after: 3\r\n");
        }
        // Both upstreams refuse the first call.
        harness.call("/once/full").await;
        let began = Instant::now();
        let answer = harness.call("/once/body").await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(began.elapsed() < Duration::from_millis(500));
        let after = store::header(&answer, "retry-after").and_then(|v| v.parse::<f64>().ok());
        let after = after.expect("a retry-after header");
        assert!((2.0..=3.0).contains(&after), "{answer}");
    });
}
