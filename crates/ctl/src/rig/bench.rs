//! A small deployment: entries and agents run as separate processes, stand-ins in this process.

use crate::client::Client;
use crate::fleet::{Fleet, Signal};
use crate::rig::probe::{
    POLL_INTERVAL, WAIT_TIMEOUT, apply, failed, get, post, status, wait_for_target, wait_until,
};
use crate::rig::runner::{Plan, Runner, any_port, place, serve};
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

/// Interval at which entries read the list of VMs and the change log, in milliseconds.
const POLL_MS: u64 = 50;
/// Shared key between entries and agents.
const KEY: &str = "bench";

/// Tokens of the two operators.
pub const OPERATORS: [&str; 2] = ["anna-token", "bert-token"];

/// A small deployment for tests.
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
    /// Placement settings of the entries started from now on.
    pub placement: Placement,
    changes: u64,
}

impl Bench {
    /// Starts the platform's stand-ins only. Settings and logs are written to `directory`.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if something cannot be started.
    pub async fn new(directory: PathBuf, programs: PathBuf) -> Result<Self, Error> {
        Ok(Self {
            fleet: Fleet::with_programs(directory, programs)?,
            table: serve(Kind::Table, any_port(), Options::default()).await?,
            objects: serve(Kind::Object, any_port(), Options::default()).await?,
            vms: serve(Kind::Vm, any_port(), Options::default()).await?,
            runners: Vec::new(),
            entries: Vec::new(),
            placement: Placement::default(),
            changes: 0,
        })
    }

    /// Starts an entry and adds it to the platform's list of VMs.
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

    /// Starts a runner and its agent, and adds the agent to the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if either does not serve.
    pub async fn runner(&mut self, id: &str, plan: Plan) -> Result<(), Error> {
        let server = serve(plan.kind, any_port(), plan.options.clone()).await?;
        let address = server.address();
        let place = place(self.runners.len());
        let settings = setting::Agent {
            id: id.to_owned(),
            place,
            listen: any_port(),
            metrics: any_port(),
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
            proxy: None,
            kind: plan.kind,
            options: plan.options,
            settings,
            server: Some(server),
            earlier_executions: Vec::new(),
        };
        if plan.proxy {
            runner.insert_proxy(ready.listen).await?;
        }
        self.list(&runner.vm).await?;
        self.runners.push(runner);
        Ok(())
    }

    /// Restarts an agent that has exited, as the next incarnation of its VM.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub async fn restart_agent(&mut self, id: &str) -> Result<(), Error> {
        let index = self.index(id)?;
        self.runners[index].vm.incarnation += 1;
        self.move_agent(id).await
    }

    /// Restarts an agent that has exited, at another address in the same incarnation of its VM.
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
        if runner.proxy.is_some() {
            runner.insert_proxy(ready.listen).await?;
        }
        let vm = runner.vm.clone();
        self.list(&vm).await
    }

    /// Stops a runner and cuts all its running executions.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such runner.
    pub async fn crash_runner(&mut self, id: &str) -> Result<(), Error> {
        let index = self.index(id)?;
        let mut log = self.runners[index].log().await;
        // Running executions end with the runner.
        let running = log
            .iter_mut()
            .filter(|one| one.ended == ExecutionStatus::Running);
        running.for_each(|one| one.ended = ExecutionStatus::Cut);
        let runner = &mut self.runners[index];
        runner.earlier_executions = log;
        runner.server.take();
        Ok(())
    }

    /// Restarts a runner at its previous address.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not serve.
    pub async fn restart_runner(&mut self, id: &str) -> Result<(), Error> {
        let index = self.index(id)?;
        let runner = &mut self.runners[index];
        let end = Instant::now() + WAIT_TIMEOUT;
        // The connections of the previous incarnation may hold the port for a moment.
        loop {
            match serve(runner.kind, runner.address, runner.options.clone()).await {
                Ok(server) => break runner.server = Some(server),
                Err(error) if Instant::now() > end => return Err(error),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        Ok(())
    }

    /// Returns the runner whose VM has this id.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such runner.
    pub fn get(&self, id: &str) -> Result<&Runner, Error> {
        self.index(id).map(|index| &self.runners[index])
    }

    fn index(&self, id: &str) -> Result<usize, Error> {
        let index = self.runners.iter().position(|runner| runner.vm.id == id);
        index.ok_or_else(|| failed(format!("no runner `{id}`")))
    }

    /// Kills a process and waits until it has exited.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if there is no such process.
    pub async fn kill(&mut self, id: &str) -> Result<(), Error> {
        self.fleet.signal(id, Signal::Kill)?;
        self.wait_for_exit(id).await.map(drop)
    }

    /// Waits until a process has exited and returns whether its exit status was 0.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it does not exit in time.
    pub async fn wait_for_exit(&mut self, id: &str) -> Result<bool, Error> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.fleet.try_wait(id)? {
                return Ok(status.success());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(failed(format!("{id} did not exit in time")))
    }

    /// Whether a process is running.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if it has exited with a status other than 0.
    pub fn is_running(&mut self, id: &str) -> Result<bool, Error> {
        if !self.fleet.has(id) {
            return Ok(false);
        }
        match self.fleet.try_wait(id)? {
            None => Ok(true),
            Some(status) if status.success() => Ok(false),
            Some(status) => Err(failed(format!("{id} exited with {status}"))),
        }
    }

    /// Adds a VM to the platform's list, or replaces it there.
    ///
    /// # Errors
    ///
    /// Those of the call.
    pub async fn list(&self, vm: &Vm) -> Result<(), Error> {
        let body = serde_json::to_value(vm).map_err(|error| failed(error.to_string()))?;
        post(self.vms.address(), "/standin/vm", &body).await
    }

    /// Removes a VM from the platform's list.
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

    /// Applies records at an entry as the first operator and returns the revision.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if they are not accepted.
    pub async fn apply(&mut self, entry: SocketAddr, documents: &[Document]) -> Result<u64, Error> {
        self.change(entry, documents, &[]).await
    }

    /// Deletes records at an entry as the first operator and returns the revision.
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
    /// [`Error::Failed`] if that takes too long.
    pub async fn ready(&mut self) -> Result<(), Error> {
        self.wait_for_configuration().await?;
        let first = self.entries[0].address;
        let revision = self.apply(first, &record::all(64)).await?;
        self.wait_for_revision(revision).await?;
        self.wait_for_links().await
    }

    /// Waits until the first entry has read the configuration.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if that takes too long.
    pub async fn wait_for_configuration(&self) -> Result<(), Error> {
        let first = self.entries[0].address;
        wait_until("an entry has read the configuration", || async {
            status(first)
                .await
                .is_some_and(|status| status["ready"] == true)
        })
        .await
    }

    /// Waits until a revision is in force at every entry.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if that takes too long.
    pub async fn wait_for_revision(&self, revision: u64) -> Result<(), Error> {
        for entry in &self.entries {
            wait_until("a revision is in force", || async {
                let status = status(entry.address).await;
                status.is_some_and(|status| status["revision"].as_u64() >= Some(revision))
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until every entry may send work to every agent.
    ///
    /// # Errors
    ///
    /// [`Error::Failed`] if that takes too long.
    pub async fn wait_for_links(&self) -> Result<(), Error> {
        for entry in &self.entries {
            for runner in &self.runners {
                wait_for_target(entry.address, &runner.vm.id, "live").await?;
            }
        }
        Ok(())
    }

    /// Returns all executions of a service's runners, in no particular order.
    pub async fn executions(&self, service: &str) -> Vec<Execution> {
        let mut all = Vec::new();
        for runner in &self.runners {
            if runner.vm.service == service {
                all.extend(runner.log().await);
            }
        }
        all
    }

    /// Returns how many times a service executed an input.
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
            listen: any_port(),
            metrics: any_port(),
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

/// Returns the revision of a record in a listing, or null if it has no such record.
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
