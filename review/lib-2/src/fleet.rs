//! A small deployment: the store, instances and replicas as processes, and the record of a case.

use std::fs::File;
use std::io::{BufRead as _, BufReader, Write as _};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Pace, Request, call};
use crate::store::Store;

/// Time between two entries of a replica, as in the settings of a small deployment (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time that the instances have to become ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// The record of a case: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|it| format!("can't write {}: {it}", path.display()));
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file?)),
        })
    }

    pub fn note(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        drop(writeln!(file, "{at:8.3} {line}"));
    }
}

/// A process that is killed on drop.
pub struct Process {
    child: Child,
    /// The lines that it has printed.
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    fn start(mut command: Command, record: Option<(Record, String)>) -> Result<Self, String> {
        let program = command.get_program().to_string_lossy().into_owned();
        let child = command.stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
        let mut child = child.map_err(|it| format!("can't start {program}: {it}"))?;
        let out = child.stdout.take().ok_or("no standard output")?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let kept = Arc::clone(&lines);
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                if let Some((record, name)) = &record {
                    record.note(&format!("{name}: {line}"));
                    kept.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(line);
                }
            }
        });
        Ok(Self { child, lines })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Kills it, and waits until it has ended.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Returns whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An instance.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddrV4,
    readiness: SocketAddrV4,
    pub process: Process,
}

/// A replica and its entry in the store.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    options: Vec<String>,
    pub process: Process,
    entry: Arc<Mutex<Entry>>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    software: String,
    models: String,
    born: String,
    state: &'static str,
    remaining_ms: Option<u64>,
    beats: u64,
    is_listed: bool,
    states_start: bool,
}

pub struct Fleet {
    pub store: Store,
    pub record: Record,
    pub folder: PathBuf,
    pub instances: Vec<Instance>,
    used: u16,
    /// The number of replicas that have been listed.
    listed: AtomicU32,
}

/// Returns a free port of the loopback interface.
fn free_address() -> Result<SocketAddrV4, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|it| it.to_string())?;
    let port = listener.local_addr().map_err(|it| it.to_string())?.port();
    Ok(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port))
}

impl Fleet {
    pub fn start(record: Record, configuration: &str) -> Result<Self, String> {
        let store = Store::start().map_err(|it| format!("can't start the store: {it}"))?;
        store.put("config", "main", configuration);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|it| format!("no temporary folder: {it}"))?;
        Ok(Self {
            store,
            record,
            folder,
            instances: Vec::new(),
            used: 0,
            listed: AtomicU32::new(0),
        })
    }

    /// Starts an instance with the command of the deploy file and the settings of its template.
    pub fn add_instance(&mut self, zone: &str) -> Result<(), String> {
        self.used += 1;
        let name = format!("edge-{zone}-{}", self.used);
        // Addresses of its own: a port of 127.0.0.1 may be taken by a connection until the instance starts again.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(
            127,
            1 + low % 250,
            high,
            u8::try_from(self.used).unwrap_or(u8::MAX),
        );
        let addresses = [7001, 7002, 7003, 7004, 7005].map(|port| SocketAddrV4::new(ip, port));
        let settings = format!(
            "{{\"instance\":{{\"id\":\"{name}\",\"zone\":\"{zone}\",\"region\":\"new-england\",\"first_start\":true,\
             \"max_descriptors\":4100,\"max_memory_mb\":260,\"processor_share\":0.25}},\
             \"addresses\":{{\"callers\":\"{}\",\"readiness\":\"{}\",\"peers\":\"{}\",\
             \"transit\":\"{}\",\"metrics\":\"{}\"}},\"platform\":{{\"address\":\"{}\"}},\
             \"bounds\":{{\"shutdown_s\":8,\"lease_rest_ms\":3000,\"retry_window_s\":10,\
             \"retry_ratio\":0.2,\"retry_allowance\":54}},\
             \"admission\":{{\"plain_services\":\"off\"}},\"log\":{{\"level\":\"info\"}}}}",
            addresses[0],
            addresses[1],
            addresses[2],
            addresses[3],
            addresses[4],
            self.store.address
        );
        let file = self.folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings).map_err(|it| format!("can't write settings: {it}"))?;
        let process = self.start_instance(&name)?;
        self.instances.push(Instance {
            name,
            callers: addresses[0],
            readiness: addresses[1],
            process,
        });
        Ok(())
    }

    fn start_instance(&self, name: &str) -> Result<Process, String> {
        let mut command = Command::new("target/release/chervilshunt-on-platform");
        command
            .arg("--settings")
            .arg(self.folder.join(format!("{name}.jsonc")));
        let log = std::env::var("REVIEW_LOG").is_ok();
        Process::start(command, log.then(|| (self.record.clone(), name.to_owned())))
    }

    /// Starts an instance again that has ended, with the same settings.
    pub fn restart_instance(&mut self, number: usize) -> Result<(), String> {
        let name = self.instances[number].name.clone();
        let file = self.folder.join(format!("{name}.jsonc"));
        let settings = std::fs::read_to_string(&file).map_err(|it| it.to_string())?;
        // `bootstrap` holds only when the whole system starts for the first time.
        let settings = settings.replace("\"first_start\":true", "\"first_start\":false");
        std::fs::write(&file, settings).map_err(|it| it.to_string())?;
        self.instances[number].process = self.start_instance(&name)?;
        Ok(())
    }

    /// Waits until all instances are ready, and then a little longer, as traffic starts 10 s after the machines.
    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let ends = Instant::now() + READY_TIME;
        for instance in &mut self.instances {
            loop {
                if instance.process.has_ended() {
                    return Err(format!("{} has ended at its start", instance.name));
                }
                let request = Request {
                    id: "ready".to_owned(),
                    path: "/ready".to_owned(),
                    deadline: Duration::from_millis(500),
                    headers: Vec::new(),
                };
                if call(instance.readiness, &request, Pace::Full).status == 200 {
                    break;
                }
                if Instant::now() > ends {
                    return Err(format!("{} is not ready in time", instance.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        thread::sleep(Duration::from_secs(3));
        self.record.note("all instances are ready");
        Ok(())
    }

    /// Starts a replica and lists it.
    pub fn add_replica(
        &self,
        id: &str,
        service: &str,
        software: &str,
        options: &[&str],
    ) -> Result<Replica, String> {
        let address = free_address()?;
        let options: Vec<String> = options.iter().map(|it| (*it).to_owned()).collect();
        let model = options
            .iter()
            .position(|it| it == "--model")
            .and_then(|it| options.get(it + 1));
        let models = model.map(|it| format!("{{\"name\":\"{it}\",\"version\":1,\"adapters\":[]}}"));
        let process = start_replica(&self.record, id, address, software, &options)?;
        let replica = Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            options: options.clone(),
            process,
            entry: Arc::new(Mutex::new(Entry {
                models: models.unwrap_or_default(),
                state: "ready",
                states_start: !options.iter().any(|it| it == "--no-born"),
                ..Entry::default()
            })),
        };
        replica.register(&self.store, software)?;
        // The heartbeats of replicas are spread, as their processes start at different times.
        let listed = self.listed.fetch_add(1, Ordering::SeqCst);
        replica.beat(
            self.store.clone(),
            HEARTBEAT.mul_f64(f64::from(listed % 9) / 9.0),
        );
        Ok(replica)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.folder));
    }
}

fn start_replica(
    record: &Record,
    id: &str,
    address: SocketAddrV4,
    software: &str,
    options: &[String],
) -> Result<Process, String> {
    let program = std::env::current_exe().map_err(|it| it.to_string())?;
    let mut command = Command::new(program);
    command.args(["replica", "--id", id, "--address", &address.to_string()]);
    command.args(["--software", software]).args(options);
    Process::start(
        command,
        Some((record.clone(), format!("{id} ({software})"))),
    )
}

impl Replica {
    /// Waits until the process listens, and writes its entry at once.
    fn register(&self, store: &Store, software: &str) -> Result<(), String> {
        let ends = Instant::now() + Duration::from_secs(5);
        let born = loop {
            let lines = self.process.lines();
            let born = lines
                .iter()
                .find_map(|it| it.strip_prefix("born ").map(str::to_owned));
            if let Some(born) = born {
                break born;
            }
            if Instant::now() > ends {
                return Err(format!("{} does not listen", self.id));
            }
            thread::sleep(Duration::from_millis(1));
        };
        let mut entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        entry.software = software.to_owned();
        entry.born = born;
        entry.is_listed = true;
        let text = self.entry_text(&entry);
        drop(entry);
        store.put("servers", &self.id, &text);
        Ok(())
    }

    fn entry_text(&self, entry: &Entry) -> String {
        entry_text(&self.service, self.address, entry)
    }

    /// Writes the entry at each heartbeat while the replica is listed.
    fn beat(&self, store: Store, offset: Duration) {
        let (entry, id, service) = (
            Arc::downgrade(&self.entry),
            self.id.clone(),
            self.service.clone(),
        );
        let address = self.address;
        thread::spawn(move || {
            thread::sleep(offset);
            loop {
                thread::sleep(HEARTBEAT);
                let Some(entry) = entry.upgrade() else {
                    return;
                };
                let mut entry = entry.lock().unwrap_or_else(PoisonError::into_inner);
                entry.beats += 1;
                if entry.is_listed {
                    store.put("servers", &id, &entry_text(&service, address, &entry));
                }
            }
        });
    }

    /// Reports that it is removed at short notice.
    pub fn give_notice(&self, store: &Store, remaining: Duration) {
        let request = Request {
            id: "leave".to_owned(),
            path: "/leave".to_owned(),
            deadline: Duration::from_secs(1),
            headers: Vec::new(),
        };
        call(self.address, &request, Pace::Full);
        let mut entry = self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        entry.state = "draining";
        entry.remaining_ms = Some(remaining.as_millis() as u64);
        let text = self.entry_text(&entry);
        // It does not report another time afterwards.
        entry.is_listed = false;
        drop(entry);
        store.put("servers", &self.id, &text);
    }

    /// Has it fall silent for a time after its next answer, as a sound replica may.
    pub fn fall_silent(&self, time: Duration) {
        let request = Request {
            id: "silence".to_owned(),
            path: format!("/silence/{}", time.as_millis()),
            deadline: Duration::from_secs(1),
            headers: Vec::new(),
        };
        call(self.address, &request, Pace::Full);
    }

    /// Kills its process. Its entry stays until it has been silent for three heartbeats.
    pub fn crash(&mut self) {
        self.entry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_listed = false;
        self.process.kill();
    }

    /// Starts it again under its id and at its address, with another software version. It is listed at once.
    pub fn restart(&mut self, fleet: &Fleet, software: &str) -> Result<(), String> {
        let (id, address) = (&self.id, self.address);
        self.process = start_replica(&fleet.record, id, address, software, &self.options)?;
        self.register(&fleet.store, software)
    }
}

fn entry_text(service: &str, address: SocketAddrV4, entry: &Entry) -> String {
    let born = entry
        .states_start
        .then(|| format!(",\"born\":{}", entry.born));
    let remaining = entry
        .remaining_ms
        .map(|it| format!(",\"remaining_ms\":{it}"));
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"worcester\",\
         \"version\":\"{}\",\"slots\":64,\"state\":\"{}\",\"cold_remaining_ms\":0,\
         \"sequence\":{}{},\"models\":[{}]{}}}",
        entry.software,
        entry.state,
        entry.beats,
        born.unwrap_or_default(),
        entry.models,
        remaining.unwrap_or_default()
    )
}
