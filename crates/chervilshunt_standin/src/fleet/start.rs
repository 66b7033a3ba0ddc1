//! The fleet: its configuration, processes and operations.

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

/// The service under which the instances of `chervilshuntd` are listed.
const INSTANCE_SERVICE: &str = "chervilshunt";

/// Time limit for an instance to become ready.
const READY_BOUND: Duration = Duration::from_secs(30);

/// Time limit for the platform to accept changes of the list.
const LIST_BOUND: Duration = Duration::from_secs(10);

/// Time limit for a killed process to exit.
const KILL_BOUND: Duration = Duration::from_secs(5);

/// Name prefix of the temporary directory for logs and settings.
const FOLDER_PREFIX: &str = "chervilshunt-fleet-";

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of `chervilshuntd` instances.
    pub instances: usize,
    /// Number of engine targets.
    pub engines: usize,
    /// Number of plain targets.
    pub plains: usize,
    /// Number of adapters, each with version `v1`.
    pub adapters: usize,
    /// Number of adapter slots of each engine.
    pub slots: u32,
    /// Maximum number of sequences that an engine runs concurrently.
    pub max_batch: u32,
    /// Duration of an engine step.
    pub step: Duration,
    /// Power cap of the site, in watts.
    pub cap_watts: f64,
    /// Whether engines reject outdated fencing tokens.
    pub engines_check_fencing: bool,
    /// Whether the links between instances run through forwarders, so that they can be cut or delayed.
    pub links: bool,
    /// Availability zones, assigned in round-robin order.
    pub zones: Vec<String>,
    /// Settings that override those of each instance, in the format of the settings file.
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

/// The kind of server that a target simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// A target and its process.
#[derive(Debug)]
pub struct Target {
    /// The child process.
    pub process: Process,
    /// The kind of server that it simulates.
    pub kind: TargetKind,
    /// Its entry in the list of endpoints.
    pub endpoint: Endpoint,
}

/// An instance of `chervilshuntd` and its process.
#[derive(Debug)]
pub struct Instance {
    /// The child process.
    pub process: Process,
    /// Its entry in the list of endpoints.
    pub endpoint: Endpoint,
    _forwarder: Option<Forwarder>,
}

impl Instance {
    /// Returns the address of the callers' port.
    pub fn callers(&self) -> SocketAddr {
        self.endpoint.ports["callers"]
    }

    /// Returns the address of the operators' port.
    pub fn operators(&self) -> SocketAddr {
        self.endpoint.ports["operators"]
    }
}

/// A complete deployment as separate processes on loopback.
#[derive(Debug)]
pub struct Fleet {
    /// The executables.
    pub binaries: Binaries,
    /// The client for the harness's own requests.
    pub http: HttpClient,
    options: FleetOptions,
    // Fields drop in this order: processes are killed before the directory with their logs is
    // removed.
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
    /// Starts all processes, waits until each instance is ready and creates the configuration
    /// objects.
    ///
    /// # Errors
    /// Returns an error that names the process or request that failed.
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

    /// Starts only the stand-ins.
    ///
    /// # Errors
    /// Returns an error that names the process that failed.
    pub async fn start_standins(options: FleetOptions) -> Result<Self, FleetError> {
        // The build blocks this thread, which is acceptable as nothing else runs yet.
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

    /// Starts one more instance, lists it and returns its id.
    ///
    /// # Errors
    /// Returns an error if the instance does not start or announces no addresses.
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
            forwarder.set_destination(ports["peers"]);
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

    /// Returns the options with which the fleet was started.
    pub const fn options(&self) -> &FleetOptions {
        &self.options
    }

    /// Returns the directory that contains logs and settings.
    pub fn folder(&self) -> &Path {
        self.folder.as_ref().map_or(Path::new("."), TempDir::path)
    }

    /// Returns the address of the platform stand-in.
    ///
    /// # Errors
    /// Returns an error if it announced none.
    pub fn platform(&self) -> Result<SocketAddr, FleetError> {
        self.platform.address("listening")
    }

    /// Returns the instances by id, including those that are shutting down.
    pub const fn instances(&self) -> &BTreeMap<String, Instance> {
        &self.instances
    }

    /// Returns the targets by name.
    pub const fn targets(&self) -> &BTreeMap<String, Target> {
        &self.targets
    }

    /// Returns the instances that the platform's load balancer would send requests to: those listed
    /// as ready, in id order.
    pub fn ready_instances(&self) -> Vec<(String, SocketAddr)> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.endpoint.condition == Condition::Ready)
            .map(|(id, instance)| (id.clone(), instance.callers()))
            .collect()
    }

    /// Returns a client for the operators' port of the first instance listed as ready.
    ///
    /// # Errors
    /// Returns an error if there is none.
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

    /// Returns a client for the operators' port of one instance.
    ///
    /// # Errors
    /// Returns an error if there is no such instance.
    pub fn statements_at(&self, id: &str) -> Result<Statements, FleetError> {
        Ok(Statements::new(
            self.http.clone(),
            self.instance(id)?.operators(),
        ))
    }

    /// Waits until each instance listed as ready passes its readiness check.
    ///
    /// # Errors
    /// Returns an error for the first instance that is not ready within 30 seconds.
    pub async fn wait_ready(&mut self) -> Result<(), FleetError> {
        self.registry.wait_written(LIST_BOUND).await;
        let ids: Vec<_> = self
            .ready_instances()
            .into_iter()
            .map(|(id, _)| id)
            .collect();
        for id in ids {
            self.wait_instance_ready(&id).await?;
        }
        Ok(())
    }

    /// Waits until the platform has accepted all changes of the list of endpoints. Returns whether it
    /// did within `bound`.
    pub async fn wait_listed(&self, bound: Duration) -> bool {
        self.registry.wait_written(bound).await
    }

    /// Waits until one instance passes its readiness check.
    ///
    /// # Errors
    /// Returns an error if there is no such instance or it is not ready within 30 seconds.
    pub async fn wait_instance_ready(&self, id: &str) -> Result<(), FleetError> {
        let instance = self.instance(id)?;
        let address = instance.operators();
        let poll = || async {
            let reply = self.http.call(Method::GET, address, "/readyz", None).await;
            reply
                .is_ok_and(|reply| reply.status == StatusCode::OK)
                .then_some(())
        };
        wait_until(READY_BOUND, poll).await.context(TimedOutSnafu {
            process: id,
            awaited: "readiness",
            bound: READY_BOUND,
            tail: instance.process.tail(),
        })
    }

    /// Kills an instance and removes it from the list.
    ///
    /// # Errors
    /// Returns an error if there is no such instance or it does not exit within 5 seconds.
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

    /// Kills an instance, starts another under a new id and returns that id.
    ///
    /// # Errors
    /// Returns an error if there is no such instance or the new one does not start.
    pub async fn replace(&mut self, id: &str) -> Result<String, FleetError> {
        self.kill(id).await?;
        self.add_instance().await
    }

    /// Kills an instance and restarts it under the same id.
    ///
    /// # Errors
    /// Returns an error if there is no such instance or it does not start again.
    pub async fn restart(&mut self, id: &str) -> Result<(), FleetError> {
        let zone = self.instance(id)?.endpoint.zone.clone();
        self.kill(id).await?;
        self.start_instance(id, &zone).await
    }

    /// Pauses a process of the fleet with `SIGSTOP`.
    ///
    /// # Errors
    /// Returns an error if there is no such process or the signal is rejected.
    pub fn freeze(&self, name: &str) -> Result<(), FleetError> {
        self.process(name)?.signal(Signal::Freeze)
    }

    /// Resumes a paused process with `SIGCONT`.
    ///
    /// # Errors
    /// Returns an error if there is no such process or the signal is rejected.
    pub fn thaw(&self, name: &str) -> Result<(), FleetError> {
        self.process(name)?.signal(Signal::Thaw)
    }

    /// Requests the graceful shutdown of an instance and lists it as leaving immediately.
    ///
    /// # Errors
    /// Returns an error if there is no such instance or the signal is rejected.
    pub fn terminate(&mut self, id: &str) -> Result<(), FleetError> {
        let instance = self
            .instances
            .get_mut(id)
            .context(UnknownSnafu { name: id })?;
        instance.endpoint.condition = Condition::Leaving;
        self.registry.set(&instance.endpoint);
        instance.process.signal(Signal::Terminate)
    }

    /// Waits until a terminated instance has exited, and removes it from the list.
    ///
    /// # Errors
    /// Returns an error if there is no such instance or it is still running after `bound`.
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

    /// Changes the listed condition of a target.
    ///
    /// # Errors
    /// Returns an error if there is no such target.
    pub fn list_target(&mut self, name: &str, condition: Condition) -> Result<(), FleetError> {
        let target = self.targets.get_mut(name).context(UnknownSnafu { name })?;
        target.endpoint.condition = condition;
        self.registry.set(&target.endpoint);
        Ok(())
    }

    /// Sets the mode of a link between instances.
    ///
    /// This has no effect unless [`FleetOptions::links`] is set.
    pub fn set_link(&self, link: Link, mode: LinkMode) {
        self.links.set(link, mode);
    }

    /// Resets all links between instances to normal operation.
    pub fn heal_links(&self) {
        self.links.heal();
    }

    /// Changes the injected faults of a stand-in: `platform`, `weights` or a target.
    ///
    /// # Errors
    /// Returns an error if there is no such stand-in or it rejects the change.
    pub async fn set_faults(&self, name: &str, faults: Value) -> Result<(), FleetError> {
        let address = self.control(name)?;
        let path = "/standin/faults";
        self.http
            .json(Method::POST, address, path, Some(&faults))
            .await?;
        Ok(())
    }

    /// Returns the active faults of a stand-in.
    ///
    /// # Errors
    /// Returns an error if there is no such stand-in or the request fails.
    pub async fn faults(&self, name: &str) -> Result<Value, FleetError> {
        let address = self.control(name)?;
        self.http
            .json(Method::GET, address, "/standin/faults", None)
            .await
    }

    /// Returns the counters of a stand-in.
    ///
    /// # Errors
    /// Returns an error if there is no such stand-in or the request fails.
    pub async fn stats(&self, name: &str) -> Result<Value, FleetError> {
        let address = self.control(name)?;
        self.http
            .json(Method::GET, address, "/standin/stats", None)
            .await
    }

    /// Returns the control addresses of all targets, from which their runs can be fetched.
    ///
    /// # Errors
    /// Returns an error if a target announced no address.
    pub fn target_controls(&self) -> Result<Vec<SocketAddr>, FleetError> {
        self.targets.keys().map(|name| self.control(name)).collect()
    }

    /// Keeps the directory with logs and settings after the fleet is dropped, and returns its path.
    pub fn keep_logs(&mut self) -> std::path::PathBuf {
        let path = self.folder().to_owned();
        if let Some(folder) = &mut self.folder {
            folder.disable_cleanup(true);
        }
        path
    }

    /// Returns the instance with this id.
    ///
    /// # Errors
    /// Returns an error if there is no such instance.
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

    /// Returns the control address of a stand-in, or its main address if it has none.
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
                "the fleet's logs are kept in {}",
                self.keep_logs().display()
            );
        }
    }
}
