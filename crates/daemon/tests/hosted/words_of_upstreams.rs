//! What upstreams say of themselves in answers, over sockets: the stories are told by the tests
//! of the decisions, `named_rate`, `leaving_in_answers` and `rest_asked_for`.

use super::*;
use test_case::test_case;

/// Makes calls until a runner has been asked.
async fn until_asked(stand: &Stand, runner: usize, path: &str) {
    let before = stand.runners[runner].seen().len();
    eventually("the runner is asked", || async {
        stand.call(path).await;
        stand.runners[runner].seen().len() > before
    })
    .await;
}

#[test_case("/once/body"; "a good answer")]
#[test_case("/once/error"; "an error")]
#[test_case("/once/full"; "a refusal")]
#[test_case("/once/foreign"; "an answer to another request")]
#[test_case("/once/unsigned"; "an answer without a receipt")]
fn an_upstream_that_says_it_leaves_gets_nothing_new(path: &str) {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.runners[0].say("server-leaving: 1\r\n");
        until_asked(&stand, 0, path).await;
        // Longer than a failure passes it over.
        task::sleep(Duration::from_millis(1_200)).await;
        assert_eq!(stand.reaching(0, 12).await, 0);
        assert!(stand.reaching(1, 1).await > 0, "the other one serves on");
    });
}

#[test]
fn a_stream_that_says_so_is_given_whole() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.runners[2].say("server-leaving: 1\r\n");
        until_asked(&stand, 2, "/talk/stream").await;
        let before = stand.runners[2].seen().len();
        for _ in 0..12 {
            let answer = stand.call("/talk/stream").await;
            assert!(answer.contains("id: 2\ndata: b"), "{answer}");
        }
        assert_eq!(stand.runners[2].seen().len(), before);
    });
}

#[test]
fn an_entry_is_told_by_another_that_an_upstream_leaves() {
    task::block_on(async {
        let stand = Stand::start().await;
        let other = start_entry(&stand.store, "front-2", &[]).await;
        until_ready(&other).await;
        task::sleep(Duration::from_millis(1_500)).await;
        stand.runners[0].say("server-leaving: 1\r\n");
        until_asked(&stand, 0, "/once/body").await;
        task::sleep(Duration::from_millis(1_000)).await;
        let before = stand.runners[0].seen().len();
        for _ in 0..12 {
            let answer = ask(other.callers, &request("/once/body", "")).await;
            assert_eq!(status(&answer), 200, "{answer}");
        }
        assert_eq!(stand.runners[0].seen().len(), before);
    });
}

#[test]
fn an_upstream_that_names_a_rate_gets_no_more() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.runners[0].say("server-limit: 2\r\n");
        until_asked(&stand, 0, "/once/body").await;
        let before = stand.runners[0].seen().len();
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(4) {
            assert_eq!(status(&stand.call("/once/body").await), 200);
            task::sleep(Duration::from_millis(20)).await;
        }
        let got = stand.runners[0].seen().len() - before;
        // What it takes in 4 s, and what the pace may be ahead.
        assert!((4..=10).contains(&got), "{got} in 4 s");
        stand.runners[0].say("");
        until_asked(&stand, 0, "/once/body").await;
        assert!(stand.reaching(0, 40).await > 5, "it gets its part again");
    });
}

#[test]
fn an_upstream_that_asks_for_rest_gets_it() {
    task::block_on(async {
        let stand = Stand::start().await;
        stand.runners[0].say("retry-after: 2\r\n");
        until_asked(&stand, 0, "/once/full").await;
        let rested = Instant::now();
        // What turned it away is passed over for less than this.
        task::sleep(Duration::from_millis(1_000)).await;
        let mut got = 0;
        while rested.elapsed() < Duration::from_millis(1_800) {
            got += stand.reaching(0, 1).await;
        }
        assert_eq!(got, 0);
        task::sleep(Duration::from_millis(400)).await;
        assert!(stand.reaching(0, 12).await > 0, "it is asked again");
    });
}

#[test]
fn where_all_rest_callers_are_told_when_to_come_back() {
    task::block_on(async {
        let stand = Stand::start().await;
        for runner in &stand.runners {
            runner.say("retry-after: 3\r\n");
        }
        // The first is turned away by both.
        stand.call("/once/full").await;
        let began = Instant::now();
        let answer = stand.call("/once/body").await;
        assert_eq!(status(&answer), 503, "{answer}");
        assert!(began.elapsed() < Duration::from_millis(500));
        let after = store::header(&answer, "retry-after").and_then(|v| v.parse::<f64>().ok());
        let after = after.expect("a time to come back");
        assert!((2.0..=3.0).contains(&after), "{answer}");
    });
}
