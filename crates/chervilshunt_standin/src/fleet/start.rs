//! The fleet itself: what it consists of and what can be done to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitStatus;
use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use snafu::{OptionExt as _, ResultExt as _};
use tempfile::TempDir;

use super::binaries::Binaries;
use super::deployment;
use super::error::{FileSnafu, FleetError, TimedOutSnafu, UnknownSnafu};
use super::http::HttpClient;
use super::link::{Forwarder, Link, LinkMode, Links};
use super::operators::Statements;
use super::process::{Process, Signal};
use super::registry::{Condition, Endpoint, Registry};
use super::settings::InstanceSettings;
use super::wait::wait_until;

/// The namespace of all objects.
const NAMESPACE: &str = "chervilshunt";

/// The service that the system's own instances are listed under.
const INSTANCE_SERVICE: &str = "chervilshunt";

/// How long an instance may take to become ready.
const READY_BOUND: Duration = Duration::from_secs(30);

/// How long the platform may take to take a change of the list.
const LIST_BOUND: Duration = Duration::from_secs(10);

/// How long a killed process may take to be gone.
const KILL_BOUND: Duration = Duration::from_secs(5);

/// Where processes keep their logs and settings unless they are to be kept.
const FOLDER_PREFIX: &str = "chervilshunt-fleet-";

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Instances of `chervilshuntd`.
    pub instances: usize,
    /// Engine targets.
    pub engines: usize,
    /// Plain targets.
    pub plains: usize,
    /// Adapters, each with version `v1`.
    pub adapters: usize,
    /// Slots of each engine.
    pub slots: u32,
    /// Sequences that an engine runs at a time.
    pub max_batch: u32,
    /// The time of an engine's step.
    pub step: Duration,
    /// The site's cap on power, in watts.
    pub cap_watts: f64,
    /// Whether engines refuse old fencing numbers.
    pub engines_check_fencing: bool,
    /// Whether links between instances can be cut.
    pub links: bool,
    /// Availability zones, given out in turn.
    pub zones: Vec<String>,
    /// Settings laid over those of each instance, in the shape of the file.
    pub settings: Value,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            instances: 3,
            engines: 2,
            plains: 1,
            adapters: 12,
            slots: 4,
            max_batch: 16,
            step: Duration::from_millis(5),
            cap_watts: 100_000.0,
            engines_check_fencing: true,
            links: false,
            zones: ["zone-a", "zone-b", "zone-c"].map(str::to_owned).to_vec(),
            settings: json!({}),
        }
    }
}

/// What a target stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// A target with its process.
#[derive(Debug)]
pub struct Target {
    /// Its process.
    pub process: Process,
    /// What it stands for.
    pub kind: TargetKind,
    /// Its entry in the list.
    pub endpoint: Endpoint,
}

/// An instance with its process.
#[derive(Debug)]
pub struct Instance {
    /// Its process.
    pub process: Process,
    /// Its entry in the list.
    pub endpoint: Endpoint,
    _forwarder: Option<Forwarder>,
}

impl Instance {
    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.endpoint.ports["callers"]
    }

    /// Returns the address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.endpoint.ports["operators"]
    }
}

/// A whole deployment as separate processes on loopback.
#[derive(Debug)]
pub struct Fleet {
    /// The programs.
    pub binaries: Binaries,
    /// The client for the fleet's own calls.
    pub http: HttpClient,
    options: FleetOptions,
    // Fields drop in this order: processes end before the folder with their logs goes.
    instances: BTreeMap<String, Instance>,
    targets: BTreeMap<String, Target>,
    weights: Process,
    registry: Registry,
    links: Links,
    platform: Process,
    started: usize,
    folder: Option<TempDir>,
}

impl Fleet {
    /// Starts everything, creates the objects and waits until each instance is ready.
    ///
    /// # Errors
    /// Fails with the process that didn't do its part, and the last lines of its log.
    pub async fn start(options: FleetOptions) -> Result<Self, FleetError> {
        let mut fleet = Self::start_standins(options).await?;
        for _ in 0..fleet.options.instances {
            fleet.add_instance().await?;
        }
        fleet.wait_ready().await?;
        let text = fleet.deployment_text();
        fleet.statements()?.run(&text).await?;
        Ok(fleet)
    }

    /// Starts the stand-ins alone.
    ///
    /// # Errors
    /// Fails with the process that didn't do its part.
    pub async fn start_standins(options: FleetOptions) -> Result<Self, FleetError> {
        // Cargo's build blocks, and nothing else runs yet.
        let binaries = Binaries::locate()?;
        let folder = tempfile::Builder::new()
            .prefix(FOLDER_PREFIX)
            .tempdir()
            .context(FileSnafu {
                path: std::env::temp_dir(),
            })?;
        let path = folder.path();
        let standin = &binaries.standin()?;
        let platform = Process::start("platform", standin, &["platform".into()], path).await?;
        let weights = Process::start("weights", standin, &["weights".into()], path).await?;
        let registry = Registry::start(platform.address("listening")?, NAMESPACE);
        let mut fleet = Self {
            binaries,
            http: HttpClient::default(),
            instances: BTreeMap::new(),
            targets: BTreeMap::new(),
            weights,
            registry,
            links: Links::new(),
            platform,
            started: 0,
            folder: Some(folder),
            options,
        };
        for number in 1..=fleet.options.engines {
            fleet
                .add_target(&format!("engine-{number}"), TargetKind::Engine)
                .await?;
        }
        for number in 1..=fleet.options.plains {
            fleet
                .add_target(&format!("desk-{number}"), TargetKind::Plain)
                .await?;
        }
        Ok(fleet)
    }

    /// Returns the statements that create the fleet's services, targets and adapters.
    pub fn deployment_text(&self) -> String {
        let targets = self
            .targets
            .values()
            .map(|target| (target.kind, &target.endpoint));
        deployment::statements(&self.options, targets)
    }

    /// Starts one more instance, puts it into the list and returns its id.
    ///
    /// # Errors
    /// Fails if it doesn't listen.
    pub async fn add_instance(&mut self) -> Result<String, FleetError> {
        self.started += 1;
        let id = format!("i{}", self.started);
        let zone = self.options.zones[(self.started - 1) % self.options.zones.len()].clone();
        self.start_instance(&id, &zone).await?;
        Ok(id)
    }

    async fn start_instance(&mut self, id: &str, zone: &str) -> Result<(), FleetError> {
        let forwarder = match self.options.links {
            true => Some(self.links.open(id).await?),
            false => None,
        };
        let settings = InstanceSettings {
            id,
            zone,
            region: "region-1",
            platform: self.platform.address("listening")?,
            namespace: NAMESPACE,
            advertise: forwarder.as_ref().map(Forwarder::address),
            extra: &self.options.settings,
        };
        let file = settings.write(self.folder())?;
        let args = ["--settings".into(), file.into_os_string()];
        let process = Process::start(id, &self.binaries.daemon()?, &args, self.folder()).await?;
        let mut ports = BTreeMap::new();
        for name in ["callers", "peers", "operators"] {
            ports.insert(name, process.address(name)?);
        }
        if let Some(forwarder) = &forwarder {
            forwarder.lead_to(ports["peers"]);
            ports.insert("peers", forwarder.address());
        }
        if let Some(pid) = process.id() {
            self.links.set_pid(id, pid);
        }
        let endpoint = Endpoint {
            name: id.to_owned(),
            service: INSTANCE_SERVICE.to_owned(),
            zone: zone.to_owned(),
            ports,
            condition: Condition::Ready,
        };
        self.registry.set(&endpoint);
        let instance = Instance {
            process,
            endpoint,
            _forwarder: forwarder,
        };
        self.instances.insert(id.to_owned(), instance);
        Ok(())
    }

    async fn add_target(&mut self, name: &str, kind: TargetKind) -> Result<(), FleetError> {
        let args = match kind {
            TargetKind::Engine => deployment::engine_args(&self.options, &self.weights)?,
            TargetKind::Plain => vec!["plain".into()],
        };
        let process = Process::start(name, &self.binaries.standin()?, &args, self.folder()).await?;
        let number = self.targets.len();
        let endpoint = Endpoint {
            name: name.to_owned(),
            service: deployment::service_of(kind).to_owned(),
            zone: self.options.zones[number % self.options.zones.len()].clone(),
            ports: BTreeMap::from([("http", process.address("listening")?)]),
            condition: Condition::Ready,
        };
        self.registry.set(&endpoint);
        self.targets.insert(
            name.to_owned(),
            Target {
                process,
                kind,
                endpoint,
            },
        );
        Ok(())
    }

    /// Returns the options that the fleet was started with.
    pub const fn options(&self) -> &FleetOptions {
        &self.options
    }

    /// Returns the folder with logs and settings.
    ///
    /// # Panics
    /// Never: it is taken only when the fleet is dropped.
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().map_or(Path::new("."), TempDir::path)
    }

    /// Returns the address of the platform.
    ///
    /// # Errors
    /// Fails if it announced none.
    pub fn platform(&self) -> Result<SocketAddr, FleetError> {
        self.platform.address("listening")
    }

    /// Returns the instances by id, leaving ones too.
    pub const fn instances(&self) -> &BTreeMap<String, Instance> {
        &self.instances
    }

    /// Returns the targets by name.
    pub const fn targets(&self) -> &BTreeMap<String, Target> {
        &self.targets
    }

    /// Returns the instances that the platform's balancer gives requests to, in id order.
    pub fn balanced(&self) -> Vec<(String, SocketAddr)> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.endpoint.condition == Condition::Ready)
            .map(|(id, instance)| (id.clone(), instance.callers()))
            .collect()
    }

    /// Returns the operators' port of the first instance that takes requests.
    ///
    /// # Errors
    /// Fails if there is none.
    pub fn statements(&self) -> Result<Statements, FleetError> {
        let mut ready = self
            .instances
            .values()
            .filter(|instance| instance.endpoint.condition == Condition::Ready);
        let first = ready.next().context(UnknownSnafu {
            name: "ready instance",
        })?;
        Ok(Statements::new(self.http.clone(), first.operators()))
    }

    /// Returns the operators' port of one instance.
    ///
    /// # Errors
    /// Fails if there is no such instance.
    pub fn statements_at(&self, id: &str) -> Result<Statements, FleetError> {
        Ok(Statements::new(
            self.http.clone(),
            self.instance(id)?.operators(),
        ))
    }

    /// Waits until each listed instance says that it is ready.
    ///
    /// # Errors
    /// Fails with the first that doesn't within 30 seconds.
    pub async fn wait_ready(&mut self) -> Result<(), FleetError> {
        self.registry.settled(LIST_BOUND).await;
        let ids: Vec<_> = self.balanced().into_iter().map(|(id, _)| id).collect();
        for id in ids {
            self.wait_instance_ready(&id).await?;
        }
        Ok(())
    }

    /// Waits until the platform has the list as it should be; says whether it has within `bound`.
    pub async fn listed(&self, bound: Duration) -> bool {
        self.registry.settled(bound).await
    }

    /// Waits until one instance says that it is ready.
    ///
    /// # Errors
    /// Fails if it doesn't within 30 seconds.
    pub async fn wait_instance_ready(&self, id: &str) -> Result<(), FleetError> {
        let instance = self.instance(id)?;
        let address = instance.operators();
        let look = || async {
            let reply = self.http.call(Method::GET, address, "/readyz", None).await;
            reply
                .is_ok_and(|reply| reply.status == StatusCode::OK)
                .then_some(())
        };
        wait_until(READY_BOUND, look).await.context(TimedOutSnafu {
            process: id,
            awaited: "readiness",
            bound: READY_BOUND,
            tail: instance.process.tail(),
        })
    }

    /// Kills an instance; the platform takes it off the list.
    ///
    /// # Errors
    /// Fails if there is no such instance.
    pub async fn kill(&mut self, id: &str) -> Result<(), FleetError> {
        let mut instance = self
            .instances
            .remove(id)
            .context(UnknownSnafu { name: id })?;
        instance.process.signal(Signal::Kill)?;
        instance.process.wait_end(KILL_BOUND).await?;
        self.registry.remove(&instance.endpoint);
        Ok(())
    }

    /// Kills an instance and starts one under a new id in its place; returns the new id.
    ///
    /// # Errors
    /// Fails if there is no such instance, or the new one doesn't listen.
    pub async fn replace(&mut self, id: &str) -> Result<String, FleetError> {
        self.kill(id).await?;
        self.add_instance().await
    }

    /// Kills an instance and starts it again under its own id.
    ///
    /// # Errors
    /// Fails if there is no such instance, or it doesn't listen.
    pub async fn restart(&mut self, id: &str) -> Result<(), FleetError> {
        let zone = self.instance(id)?.endpoint.zone.clone();
        self.kill(id).await?;
        self.start_instance(id, &zone).await
    }

    /// Pauses a process of the fleet.
    ///
    /// # Errors
    /// Fails if there is no such process.
    pub fn freeze(&self, name: &str) -> Result<(), FleetError> {
        self.process(name)?.signal(Signal::Freeze)
    }

    /// Continues a paused process.
    ///
    /// # Errors
    /// Fails if there is no such process.
    pub fn thaw(&self, name: &str) -> Result<(), FleetError> {
        self.process(name)?.signal(Signal::Thaw)
    }

    /// Asks an instance to end gracefully; the platform lists it as leaving at once.
    ///
    /// # Errors
    /// Fails if there is no such instance.
    pub fn terminate(&mut self, id: &str) -> Result<(), FleetError> {
        let instance = self
            .instances
            .get_mut(id)
            .context(UnknownSnafu { name: id })?;
        instance.endpoint.condition = Condition::Leaving;
        self.registry.set(&instance.endpoint);
        instance.process.signal(Signal::Terminate)
    }

    /// Waits until an instance that was asked to end has ended, and takes it off the list.
    ///
    /// # Errors
    /// Fails if it still runs after `bound`.
    pub async fn wait_terminated(
        &mut self,
        id: &str,
        bound: Duration,
    ) -> Result<ExitStatus, FleetError> {
        let instance = self
            .instances
            .get_mut(id)
            .context(UnknownSnafu { name: id })?;
        let status = instance.process.wait_end(bound).await?;
        self.registry.remove(&instance.endpoint);
        self.instances.remove(id);
        Ok(status)
    }

    /// Changes what the list says of a target.
    ///
    /// # Errors
    /// Fails if there is no such target.
    pub fn list_target(&mut self, name: &str, condition: Condition) -> Result<(), FleetError> {
        let target = self.targets.get_mut(name).context(UnknownSnafu { name })?;
        target.endpoint.condition = condition;
        self.registry.set(&target.endpoint);
        Ok(())
    }

    /// Sets what a link between instances does.
    ///
    /// It has an effect only where [`FleetOptions::links`] is set.
    pub fn set_link(&self, link: Link, mode: LinkMode) {
        self.links.set(link, mode);
    }

    /// Opens all links between instances.
    pub fn heal_links(&self) {
        self.links.heal();
    }

    /// Throws fault switches of a stand-in: `platform`, `weights` or a target.
    ///
    /// # Errors
    /// Fails if there is no such stand-in or it refuses the switches.
    pub async fn set_faults(&self, name: &str, faults: Value) -> Result<(), FleetError> {
        let address = self.control(name)?;
        let path = "/standin/faults";
        self.http
            .json(Method::POST, address, path, Some(&faults))
            .await?;
        Ok(())
    }

    /// Returns the faults of a stand-in that are in force.
    ///
    /// # Errors
    /// Fails if there is no such stand-in or it doesn't answer.
    pub async fn faults(&self, name: &str) -> Result<Value, FleetError> {
        let address = self.control(name)?;
        self.http
            .json(Method::GET, address, "/standin/faults", None)
            .await
    }

    /// Returns a stand-in's counters.
    ///
    /// # Errors
    /// Fails if there is no such stand-in or it doesn't answer.
    pub async fn stats(&self, name: &str) -> Result<Value, FleetError> {
        let address = self.control(name)?;
        self.http
            .json(Method::GET, address, "/standin/stats", None)
            .await
    }

    /// Returns the addresses at which targets tell what they ran.
    ///
    /// # Errors
    /// Fails if a target announced none.
    pub fn target_controls(&self) -> Result<Vec<SocketAddr>, FleetError> {
        self.targets.keys().map(|name| self.control(name)).collect()
    }

    /// Keeps logs and settings after the fleet has ended, and returns their folder.
    pub fn keep_logs(&mut self) -> std::path::PathBuf {
        let path = self.folder().to_owned();
        if let Some(folder) = &mut self.folder {
            folder.disable_cleanup(true);
        }
        path
    }

    /// Returns an instance.
    ///
    /// # Errors
    /// Fails if there is none of this id.
    pub fn instance(&self, id: &str) -> Result<&Instance, FleetError> {
        self.instances.get(id).context(UnknownSnafu { name: id })
    }

    fn process(&self, name: &str) -> Result<&Process, FleetError> {
        match name {
            "platform" => Ok(&self.platform),
            "weights" => Ok(&self.weights),
            _ => {
                let instance = self.instances.get(name).map(|instance| &instance.process);
                let target = self.targets.get(name).map(|target| &target.process);
                instance.or(target).context(UnknownSnafu { name })
            }
        }
    }

    /// Returns the address at which a stand-in takes its own calls.
    fn control(&self, name: &str) -> Result<SocketAddr, FleetError> {
        let process = self.process(name)?;
        process
            .address("control")
            .or_else(|_none| process.address("listening"))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "logs of the fleet are kept in {}",
                self.keep_logs().display()
            );
        }
    }
}
