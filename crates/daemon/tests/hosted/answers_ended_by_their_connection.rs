//! Guards answers without length and chunks, whose end shows only in the end of their connection.

use super::*;

/// What the client gets, without the head.
async fn body(harness: &Harness, path: &str) -> String {
    let answer = harness.call(path).await;
    assert_eq!(status(&answer), 200, "{answer}");
    let (_, body) = answer.split_once("\r\n\r\n").expect("a head");
    body.to_owned()
}

#[test]
fn a_whole_stream_is_told_as_whole() {
    task::block_on(async {
        let harness = Harness::start().await;
        let body = body(&harness, "/talk/closing-stream").await;
        assert!(body.contains("data: a\n\n"), "{body}");
        assert!(body.ends_with("0\r\n\r\n"), "{body}");
    });
}

/// The rest comes from another upstream, and no event comes twice or in pieces.
#[test]
fn a_stream_that_ends_inside_an_event_is_resumed() {
    task::block_on(async {
        let harness = Harness::start().await;
        for _ in 0..20 {
            let body = body(&harness, "/talk/broken-closing-stream").await;
            assert!(body.contains("data: a\n\n"), "{body}");
            assert_eq!(body.matches("data: b\n\n").count(), 1, "{body}");
            assert_eq!(body.matches("id: 2").count(), 1, "{body}");
            assert!(body.ends_with("0\r\n\r\n"), "{body}");
        }
    });
}

#[test]
fn a_whole_answer_of_a_plain_service_is_told_as_whole() {
    task::block_on(async {
        let harness = Harness::start().await;
        let body = body(&harness, "/look/unframed").await;
        assert!(body.contains("to the end"), "{body}");
    });
}
