//! A small deployment: entries and agents as processes of their own, stand-ins in this one.

use crate::client::Client;
use crate::fleet::{Fleet, Signal};
use crate::rig::probe::{LIMIT, LOOK, apply, failed, get, post, status, target, until};
use crate::rig::runner::{Plan, Runner, free, place, serve};
use crate::{Error, listing, rig::record};
use ::record::Document;
use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderMap;
use serde_json::{Value, json};
use setting::{Operator, Placement, Platform, Policy};
use standin::log::{Execution, ExecutionStatus};
use standin::{Kind, Options, Server};
use std::net::SocketAddr;
use std::path::PathBuf;
use store::{Role, Vm};
use tokio::time::Instant;

/// How often entries read the list of VMs and the change log, in milliseconds.
const POLL_MS: u64 = 50;
/// Shared key between entries and agents.
const KEY: &str = "bench";

/// Tokens of the two operators.
pub const OPERATORS: [&str; 2] = ["anna-token", "bert-token"];

/// The deployment.
#[derive(Debug)]
pub struct Bench {
    /// The processes.
    pub fleet: Fleet,
    /// The table service.
    pub table: Server,
    /// The object store.
    pub objects: Server,
    /// The list of VMs.
    pub vms: Server,
    /// All runners.
    pub runners: Vec<Runner>,
    /// All entries.
    pub entries: Vec<Vm>,
    /// How entries that are started from now on place models.
    pub placement: Placement,
    changes: u64,
}

impl Bench {
    /// The platform alone; settings and logs go into a directory.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if something cannot be started.
    pub async fn new(directory: PathBuf, programs: PathBuf) -> Result<Self, Error> {
        Ok(Self {
            fleet: Fleet::with_programs(directory, programs)?,
            table: serve(Kind::Table, free(), Options::default()).await?,
            objects: serve(Kind::Object, free(), Options::default()).await?,
            vms: serve(Kind::Vm, free(), Options::default()).await?,
            runners: Vec::new(),
            entries: Vec::new(),
            placement: Placement::default(),
            changes: 0,
        })
    }

    /// Starts an entry and lists it.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub async fn entry(&mut self, id: &str) -> Result<SocketAddr, Error> {
        let settings = self.entry_settings(id);
        let ready = self.fleet.entry(&settings)?;
        let known = self.entries.iter().position(|vm| vm.id == id);
        let incarnation = known.map_or(1, |index| self.entries[index].incarnation + 1);
        let vm = Vm {
            incarnation,
            ..listing::vm(id, Role::Entry, "", &settings.place, ready)
        };
        self.list(&vm).await?;
        match known {
            Some(index) => self.entries[index] = vm,
            None => self.entries.push(vm),
        }
        Ok(ready.listen)
    }

    /// Starts a runner with an agent beside it and lists it.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if either does not serve.
    pub async fn runner(&mut self, id: &str, plan: Plan) -> Result<(), Error> {
        let server = serve(plan.kind, free(), plan.options.clone()).await?;
        let address = server.address();
        let place = place(self.runners.len());
        let settings = setting::Agent {
            id: id.to_owned(),
            place,
            listen: free(),
            metrics: free(),
            platform: self.platform(),
            key: KEY.to_owned(),
            service: plan.options.name.clone(),
            runner: address,
            concurrency: plan.concurrency,
            queue: 256,
            policy: Policy::Shipped,
            news: None,
        };
        let ready = self.fleet.agent(&settings)?;
        let vm = listing::vm(id, Role::Target, &settings.service, &settings.place, ready);
        let mut runner = Runner {
            vm,
            address,
            relay: None,
            kind: plan.kind,
            options: plan.options,
            settings,
            server: Some(server),
            past: Vec::new(),
        };
        if plan.relay {
            runner.interpose(ready.listen).await?;
        }
        self.list(&runner.vm).await?;
        self.runners.push(runner);
        Ok(())
    }

    /// Starts an agent again that has ended, in its VM's next life.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub async fn restart_agent(&mut self, id: &str) -> Result<(), Error> {
        let index = self.index(id)?;
        self.runners[index].vm.incarnation += 1;
        self.move_agent(id).await
    }

    /// Starts an agent again that has ended, at another address in the same life of its VM.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub async fn move_agent(&mut self, id: &str) -> Result<(), Error> {
        let index = self.index(id)?;
        let ready = self.fleet.agent(&self.runners[index].settings)?;
        let runner = &mut self.runners[index];
        runner.vm.address = ready.listen;
        runner.vm.leaving = false;
        if runner.relay.is_some() {
            runner.interpose(ready.listen).await?;
        }
        let vm = runner.vm.clone();
        self.list(&vm).await
    }

    /// Breaks off a runner and everything that it has under way.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such runner.
    pub async fn crash_runner(&mut self, id: &str) -> Result<(), Error> {
        let index = self.index(id)?;
        let mut log = self.runners[index].log().await;
        // What was under way ends with the runner.
        let running = log
            .iter_mut()
            .filter(|one| one.ended == ExecutionStatus::Running);
        running.for_each(|one| one.ended = ExecutionStatus::Cut);
        let runner = &mut self.runners[index];
        runner.past = log;
        runner.server.take();
        Ok(())
    }

    /// Starts a runner again at the address that it had.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub async fn revive_runner(&mut self, id: &str) -> Result<(), Error> {
        let index = self.index(id)?;
        let runner = &mut self.runners[index];
        let end = Instant::now() + LIMIT;
        // The connections of the last life may hold the port for a moment.
        loop {
            match serve(runner.kind, runner.address, runner.options.clone()).await {
                Ok(server) => break runner.server = Some(server),
                Err(error) if Instant::now() > end => return Err(error),
                Err(_) => tokio::time::sleep(LOOK).await,
            }
        }
        Ok(())
    }

    /// A runner by the name of its VM.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such runner.
    pub fn get(&self, id: &str) -> Result<&Runner, Error> {
        self.index(id).map(|index| &self.runners[index])
    }

    fn index(&self, id: &str) -> Result<usize, Error> {
        let index = self.runners.iter().position(|runner| runner.vm.id == id);
        index.ok_or_else(|| failed(format!("there is no runner {id}")))
    }

    /// Kills a process and waits until it is gone.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such process.
    pub async fn kill(&mut self, id: &str) -> Result<(), Error> {
        self.fleet.signal(id, Signal::Kill)?;
        self.gone(id).await.map(drop)
    }

    /// Waits until a process has ended and says whether it ended with 0.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it goes on.
    pub async fn gone(&mut self, id: &str) -> Result<bool, Error> {
        let end = Instant::now() + LIMIT;
        while Instant::now() < end {
            if let Some(status) = self.fleet.try_wait(id)? {
                return Ok(status.success());
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(failed(format!("{id} does not end")))
    }

    /// Whether a process goes on.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it has ended with anything but 0.
    pub fn is_running(&mut self, id: &str) -> Result<bool, Error> {
        if !self.fleet.has(id) {
            return Ok(false);
        }
        match self.fleet.try_wait(id)? {
            None => Ok(true),
            Some(status) if status.success() => Ok(false),
            Some(status) => Err(failed(format!("{id} ended with {status}"))),
        }
    }

    /// Puts a VM on the platform's list as it is given.
    ///
    /// # Errors
    ///
    /// Those of the call.
    pub async fn list(&self, vm: &Vm) -> Result<(), Error> {
        let body = serde_json::to_value(vm).map_err(|error| failed(error.to_string()))?;
        post(self.vms.address(), "/standin/vm", &body).await
    }

    /// Takes a VM off the platform's list.
    ///
    /// # Errors
    ///
    /// Those of the call.
    pub async fn unlist(&self, id: &str) -> Result<(), Error> {
        let client = Client::plain(self.vms.address());
        let path = format!("/standin/vm?id={id}");
        let answer = client.call(Method::DELETE, &path, HeaderMap::new(), Bytes::new());
        answer.await.map(drop)
    }

    /// Applies records at an entry as the first operator and gives the revision.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if they are not accepted.
    pub async fn apply(&mut self, entry: SocketAddr, documents: &[Document]) -> Result<u64, Error> {
        self.change(entry, documents, &[]).await
    }

    /// Deletes records at an entry as the first operator and gives the revision.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if it is not accepted.
    pub async fn delete(&mut self, entry: SocketAddr, keys: &[&str]) -> Result<u64, Error> {
        self.change(entry, &[], keys).await
    }

    async fn change(
        &mut self,
        entry: SocketAddr,
        documents: &[Document],
        delete: &[&str],
    ) -> Result<u64, Error> {
        self.changes += 1;
        let token = format!("change-{}", self.changes);
        let written = documents.iter().map(Document::key);
        let touched = written.chain(delete.iter().map(|key| (*key).to_owned()));
        let listing: Value = get(entry, "/v1/records").await?;
        let base: serde_json::Map<String, Value> = touched
            .map(|key| (key.clone(), revision(&listing, &key)))
            .collect();
        let change = json!({
            "token": token, "base": base, "documents": documents, "delete": delete,
        });
        let answer = apply(entry, OPERATORS[0], &change).await?;
        if !answer.status.is_success() {
            return Err(Error::Refused {
                problem: answer.problem(),
            });
        }
        let accepted: Value = answer.json()?;
        Ok(accepted["revision"].as_u64().unwrap_or_default())
    }

    /// Applies the bench's records and waits until every entry has them and a link to every agent.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if one does not get there.
    pub async fn ready(&mut self) -> Result<(), Error> {
        self.readable().await?;
        let first = self.entries[0].address;
        let revision = self.apply(first, &record::all(64)).await?;
        self.in_force(revision).await?;
        self.linked().await
    }

    /// Waits until the first entry reads the configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not.
    pub async fn readable(&self) -> Result<(), Error> {
        let first = self.entries[0].address;
        until("an entry reads the configuration", || async {
            status(first)
                .await
                .is_some_and(|status| status["ready"] == true)
        })
        .await
    }

    /// Waits until every entry has a revision in force.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if one does not get there.
    pub async fn in_force(&self, revision: u64) -> Result<(), Error> {
        for entry in &self.entries {
            until("a revision is in force", || async {
                let status = status(entry.address).await;
                status.is_some_and(|status| status["revision"].as_u64() >= Some(revision))
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every entry may give work to every agent.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if one does not get there.
    pub async fn linked(&self) -> Result<(), Error> {
        for entry in &self.entries {
            for runner in &self.runners {
                target(entry.address, &runner.vm.id, "live").await?;
            }
        }
        Ok(())
    }

    /// All executions of a service's runners, in no order.
    pub async fn executions(&self, service: &str) -> Vec<Execution> {
        let mut all = Vec::new();
        for runner in &self.runners {
            if runner.vm.service == service {
                all.extend(runner.log().await);
            }
        }
        all
    }

    /// How often a service ran an input.
    pub async fn runs(&self, service: &str, input: &[u8]) -> usize {
        let hash = standin::answer::input_hash(input);
        let executions = self.executions(service).await;
        let same = |execution: &&Execution| execution.input_hash == hash;
        executions.iter().filter(same).count()
    }

    fn platform(&self) -> Platform {
        Platform {
            table: self.table.address(),
            objects: self.objects.address(),
            vms: self.vms.address(),
            weights: None,
        }
    }

    fn entry_settings(&self, id: &str) -> setting::Entry {
        let names = ["anna", "bert"].into_iter();
        let operators = names.zip(OPERATORS).map(|(name, token)| Operator {
            name: name.to_owned(),
            token: token.to_owned(),
        });
        setting::Entry {
            id: id.to_owned(),
            place: place(self.entries.len()),
            listen: free(),
            metrics: free(),
            platform: self.platform(),
            key: KEY.to_owned(),
            operators: operators.collect(),
            tls: None,
            policy: Policy::Shipped,
            vms_poll_ms: POLL_MS,
            head_poll_ms: POLL_MS,
            journal_beat_ms: 100,
            subset: 64,
            news: None,
            placement: self.placement,
        }
    }
}

/// Revision of a record in a listing; null if it is not there.
fn revision(listing: &Value, key: &str) -> Value {
    let records = listing["records"].as_array().into_iter().flatten();
    let mut found = records.filter(|stored| {
        let document = serde_json::from_value::<Document>(stored["document"].clone());
        document.is_ok_and(|document| document.key() == key)
    });
    found
        .next()
        .map_or(Value::Null, |stored| stored["revision"].clone())
}
