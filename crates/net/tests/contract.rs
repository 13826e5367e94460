//! The contract of the platform, kept by the form in memory and the one over
//! HTTP alike, with its fault cases.

use async_std::task;
use sorreldeck_emulator::{listen, server, Quality};
use sorreldeck_net::platform::{
    Commit, Faults, Instance, Memory, Platform, Role, Transaction, Trouble,
};
use std::sync::Arc;
use test_case::test_case;

/// The two forms of the platform.
#[derive(Clone, Copy)]
enum Form {
    Memory,
    Http,
}

async fn open(form: Form) -> (Platform, Arc<Memory>) {
    let memory: Arc<Memory> = Arc::default();
    let platform = match form {
        Form::Memory => Platform::of_memory(memory.clone()),
        Form::Http => {
            let (listener, address) = listen().await.unwrap();
            server::serve_on(listener, memory.clone(), Quality::default());
            Platform::connect(address)
        }
    };
    (platform, memory)
}

#[test_case(Form::Memory; "memory")]
#[test_case(Form::Http; "http")]
fn a_transaction_takes_effect_as_a_whole_or_not_at_all(form: Form) {
    task::block_on(async {
        let (platform, _) = open(form).await;
        let first = Transaction::default()
            .expect_absent("a")
            .put("a", 1.into())
            .put("b/x", 2.into());
        assert_eq!(platform.commit(&first).await, Ok(Commit::Done));
        assert_eq!(
            platform.commit(&first).await,
            Ok(Commit::Conflict("a".into()))
        );
        let row = platform.get("a").await.unwrap().unwrap();
        assert_eq!(row.value, 1);
        let half = Transaction::default()
            .expect("a", row.version)
            .expect_absent("b/x")
            .put("a", 9.into());
        assert_eq!(
            platform.commit(&half).await,
            Ok(Commit::Conflict("b/x".into()))
        );
        assert_eq!(platform.get("a").await.unwrap().unwrap(), row);
        let next = Transaction::default()
            .expect("a", row.version)
            .put("a", 3.into());
        assert_eq!(platform.commit(&next).await, Ok(Commit::Done));
        assert!(platform.get("a").await.unwrap().unwrap().version > row.version);
    });
}

#[test_case(Form::Memory; "memory")]
#[test_case(Form::Http; "http")]
fn a_row_removed_and_put_again_is_another_row(form: Form) {
    task::block_on(async {
        let (platform, _) = open(form).await;
        let put = Transaction::default().put("a", 1.into());
        platform.commit(&put).await.unwrap();
        let old = platform.get("a").await.unwrap().unwrap();
        platform
            .commit(&Transaction::default().remove("a"))
            .await
            .unwrap();
        assert_eq!(platform.get("a").await, Ok(None));
        platform.commit(&put).await.unwrap();
        let stale = Transaction::default()
            .expect("a", old.version)
            .put("a", 2.into());
        assert_eq!(
            platform.commit(&stale).await,
            Ok(Commit::Conflict("a".into()))
        );
    });
}

#[test_case(Form::Memory; "memory")]
#[test_case(Form::Http; "http")]
fn listings_are_by_prefix(form: Form) {
    task::block_on(async {
        let (platform, _) = open(form).await;
        let put = Transaction::default()
            .put("config/1", 1.into())
            .put("config/2", 2.into())
            .put("confound", 3.into());
        platform.commit(&put).await.unwrap();
        let rows = platform.list("config/").await.unwrap();
        assert_eq!(rows.keys().collect::<Vec<_>>(), ["config/1", "config/2"]);
        platform
            .put_object("bill/1/a", b"x".to_vec())
            .await
            .unwrap();
        platform
            .put_object("bill/2/a", b"y".to_vec())
            .await
            .unwrap();
        assert_eq!(
            platform.list_objects("bill/1/").await.unwrap(),
            ["bill/1/a"]
        );
        assert_eq!(
            platform.get_object("bill/2/a").await,
            Ok(Some(b"y".to_vec()))
        );
        assert_eq!(platform.get_object("bill/3/a").await, Ok(None));
    });
}

/// What a call is under a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    Done,
    Down,
    Unknown,
}

fn seen<T>(result: &Result<T, Trouble>) -> Seen {
    match result {
        Ok(_) => Seen::Done,
        Err(Trouble::Down(_)) => Seen::Down,
        Err(Trouble::Unknown(_)) => Seen::Unknown,
        Err(Trouble::Refused(message)) => panic!("refused: {message}"),
    }
}

fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

fn slow() -> Faults {
    Faults {
        slow: Some("20ms".parse().unwrap()),
        ..Faults::default()
    }
}

fn lossy() -> Faults {
    Faults {
        lose_answers: 1,
        ..Faults::default()
    }
}

// The fault, what a write and a read are then, and whether the write took effect.
#[test_case(Form::Memory, Faults::default(), Seen::Done, Seen::Done, true; "memory, none")]
#[test_case(Form::Http, Faults::default(), Seen::Done, Seen::Done, true; "http, none")]
#[test_case(Form::Memory, down(), Seen::Down, Seen::Down, false; "memory, outage")]
#[test_case(Form::Http, down(), Seen::Down, Seen::Down, false; "http, outage")]
#[test_case(Form::Memory, slow(), Seen::Done, Seen::Done, true; "memory, slowness")]
#[test_case(Form::Http, slow(), Seen::Done, Seen::Done, true; "http, slowness")]
#[test_case(Form::Memory, lossy(), Seen::Unknown, Seen::Done, true; "memory, answer lost")]
#[test_case(Form::Http, lossy(), Seen::Unknown, Seen::Done, true; "http, answer lost")]
fn faults_are_told_apart(form: Form, faults: Faults, write: Seen, read: Seen, took_effect: bool) {
    task::block_on(async {
        let (platform, memory) = open(form).await;
        memory.set_faults(faults);
        let put = Transaction::default().expect_absent("a").put("a", 1.into());
        assert_eq!(seen(&platform.commit(&put).await), write);
        assert_eq!(seen(&platform.get("a").await), read);
        memory.set_faults(Faults::default());
        assert_eq!(platform.get("a").await.unwrap().is_some(), took_effect);
    });
}

#[test_case(Form::Memory; "memory")]
#[test_case(Form::Http; "http")]
fn the_list_of_instances_lags_and_can_be_out_of_reach(form: Form) {
    task::block_on(async {
        let (platform, memory) = open(form).await;
        let instance = Instance {
            name: "engine-1".parse().unwrap(),
            role: Role::Sidecar,
            address: "127.0.0.1:9".parse().unwrap(),
            hall: "hall-a".parse().unwrap(),
            leaving: false,
        };
        memory.set_instances(vec![instance.clone()]);
        assert_eq!(platform.instances().await, Ok(vec![instance]));
        memory.set_faults(Faults {
            list_lag: Some("1h".parse().unwrap()),
            ..Faults::default()
        });
        assert_eq!(platform.instances().await, Ok(Vec::new()));
        memory.set_faults(Faults {
            list_down: true,
            ..Faults::default()
        });
        assert_eq!(seen(&platform.instances().await), Seen::Down);
    });
}

#[test]
fn a_platform_that_nobody_serves_is_down() {
    task::block_on(async {
        let (listener, address) = listen().await.unwrap();
        drop(listener);
        let platform = Platform::connect(address);
        assert_eq!(seen(&platform.get("a").await), Seen::Down);
        let put = Transaction::default().put("a", 1.into());
        assert_eq!(seen(&platform.commit(&put).await), Seen::Down);
    });
}
