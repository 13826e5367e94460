//! The program `sorreldeck`: the command line over the administration API.

mod client;
mod options;
mod show;

use client::{Client, Failure};
use options::{Command, Options};

fn main() {
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "1");
    let options = options::options().run();
    let done = async_std::task::block_on(run(&options));
    if let Err(failure) = done {
        eprintln!("sorreldeck: {failure}");
        std::process::exit(failure.exit_code());
    }
}

async fn run(options: &Options) -> Result<(), Failure> {
    let format = options.format;
    match &options.command {
        Command::Hash { secret } => println!("{}", sorreldeck::tree::hash_key(secret)),
        Command::Check { file } => {
            let text = client::read_document(file)?.text;
            let tree = client::parse(file, &text)?;
            println!(
                "{}: {} entries, valid",
                file.display(),
                tree.entries().len()
            );
        }
        Command::Apply {
            file,
            revision,
            ticket,
            dry_run,
            prune,
        } => {
            let client = Client::new(options)?;
            let document = client::read_document(file)?;
            let change = document.change(*prune, *dry_run);
            let answer = client.change(&change, *revision, ticket.as_deref()).await?;
            show::change(&answer, *dry_run, format);
        }
        Command::Remove {
            keys,
            revision,
            ticket,
            dry_run,
        } => {
            let client = Client::new(options)?;
            let change = serde_json::json!({"remove": keys, "dry_run": dry_run});
            let answer = client.change(&change, *revision, ticket.as_deref()).await?;
            show::change(&answer, *dry_run, format);
        }
        Command::Withdraw { version, revision } => {
            let path = format!("/admin/v1/versions/{version}/withdraw");
            let answer = Client::new(options)?.act(&path, *revision).await?;
            show::change(&answer, false, format);
        }
        Command::Rollout {
            action,
            name,
            revision,
        } => {
            let path = format!("/admin/v1/rollouts/{name}/{action}");
            let answer = Client::new(options)?.act(&path, *revision).await?;
            show::change(&answer, false, format);
        }
        Command::Evacuate {
            revision,
            dry_run,
            hall,
        } => {
            let client = Client::new(options)?;
            let relief = client.get(&format!("/admin/v1/halls/{hall}")).await?;
            let entry = serde_json::json!({"halls": {hall.as_str(): {"evacuated": true}}});
            let change = serde_json::json!({
                "document": entry.to_string(),
                "format": "json",
                "dry_run": dry_run,
            });
            let mut answer = client.change(&change, *revision, None).await?;
            answer["relief"] = relief["pools"].clone();
            show::evacuation(&answer, *dry_run, format);
        }
        Command::Restore {
            revision,
            dry_run,
            hall,
        } => {
            let client = Client::new(options)?;
            let keys = [format!("halls/{hall}")];
            let change = serde_json::json!({"remove": keys, "dry_run": dry_run});
            let answer = client.change(&change, *revision, None).await?;
            show::change(&answer, *dry_run, format);
        }
        Command::Change { ticket } => {
            let path = format!("/admin/v1/changes/{ticket}");
            let answer = Client::new(options)?.get(&path).await?;
            show::change(&answer, false, format);
        }
        Command::Tree => {
            let answer = Client::new(options)?.get("/admin/v1/tree").await?;
            show::tree(&answer, format);
        }
        Command::Get { key } => {
            let path = format!("/admin/v1/entries/{key}");
            let answer = Client::new(options)?.get(&path).await?;
            show::entry(&answer, format);
        }
        Command::Effective { node } => {
            let path = format!("/admin/v1/effective{node}");
            let answer = Client::new(options)?.get(&path).await?;
            show::effective(&answer, format);
        }
        Command::Status => {
            let answer = Client::new(options)?.get("/admin/v1/status").await?;
            show::status(&answer, format);
        }
        Command::Held => {
            let answer = Client::new(options)?.get("/admin/v1/quarantine").await?;
            show::held(&answer, format);
        }
        Command::Lift { name } => {
            let path = format!("/admin/v1/quarantine/{name}/lift");
            let answer = Client::new(options)?
                .post(&path, &serde_json::Value::Null)
                .await?;
            show::lifted(&answer, format);
        }
        Command::Bill { day } => {
            let path = match day {
                Some(day) => format!("/admin/v1/bill?day={day}"),
                None => "/admin/v1/bill".to_owned(),
            };
            let answer = Client::new(options)?.get(&path).await?;
            show::bill(&answer, format);
        }
        Command::Explain {
            request,
            node,
            model,
            path,
            class,
            session,
        } => {
            let client = Client::new(options)?;
            let answer = match (request, node) {
                (Some(id), _) => client.get(&format!("/admin/v1/explain/{id}")).await?,
                (None, Some(node)) => {
                    let described = serde_json::json!({
                        "node": node,
                        "model": model,
                        "path": path,
                        "class": class,
                        "session": session,
                    });
                    client.post("/admin/v1/explain", &described).await?
                }
                (None, None) => {
                    return Err(Failure::usage(
                        "name a request, or a node with a model or path",
                    ));
                }
            };
            show::decision(&answer, format);
        }
    }
    Ok(())
}
