//! Commits a write whose answer is lost; it takes effect once: `cargo run -p store --example
//! lost_answer`.

use serde_json::json;
use store::commit::{RetryPolicy, TOKEN, commit};
use store::{Check, Error, Memory, Put, Table, Transaction};

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Error> {
    let (table, key) = ("claim".to_owned(), "6:rework:order-77".to_owned());
    let claim = Transaction {
        checks: vec![Check {
            table: table.clone(),
            key: key.clone(),
            revision: None,
        }],
        puts: vec![Put {
            table: table.clone(),
            key: key.clone(),
            value: Some(json!({ TOKEN: "a" })),
        }],
    };
    let memory = Memory::default();
    memory.lose_answers(1);
    let outcome = commit(&memory, &claim, "a", RetryPolicy::default()).await;
    println!("{outcome:?}");
    println!("{:?}", memory.read(&table, &key).await?);
    Ok(())
}
