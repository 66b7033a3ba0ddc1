//! Measures the cost of calls to the platform: CPU time of the client, bytes on the wire, and the
//! call rate of many instances.
//!
//! Run it with `cargo run --release -p chervilshunt_platform --example call_costs`. Each figure is
//! the slope of a line fitted to measurements at four sizes, with the coefficient of determination
//! (R2). The simulated platform runs on its own thread; only the client's thread is measured. See
//! `docs/CAPACITY.md`.

use std::future::Future;
use std::time::Duration;

use chervilshunt_model::InstanceId;
use chervilshunt_platform::{
    ASSIGNMENTS, CONFIG_HEADS, ENDPOINT_SLICES, Endpoint, EndpointPort, EndpointSlice,
    InstanceList, LEASES, Object, Platform, PlatformConfig, Resource, SERVICE_LABEL, Selector,
    TargetRef, WatchEvent,
};
use chervilshunt_standin::platform::{PlatformHandle, PlatformOptions, start_platform};
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::mpsc;

/// The number of endpoints in one slice, as the Kubernetes controller fills them.
const SLICE_SIZE: usize = 100;

/// The number of version lists requested for one sample.
const LISTS: u32 = 100;

/// The speed-up over real time in [`Bench::many_instances`].
const SPEED: u32 = 30;

const RENEWAL: Duration = Duration::from_secs(5);
const WARM_UP: Duration = Duration::from_secs(2);
const RUN: Duration = Duration::from_secs(12);

/// The measurements at one size.
#[derive(Clone, Copy)]
struct Sample {
    size: f64,
    cpu_us: f64,
    bytes_sent: f64,
    bytes_received: f64,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let servers = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let client = Builder::new_current_thread().enable_all().build()?;
    let bench = Bench { servers, client };
    println!(
        "{:<28}{:>12}{:>12}{:>12}{:>8}",
        "per", "cpu us", "sent B", "received B", "R2 cpu"
    );
    bench.renewals();
    bench.reads();
    bench.events();
    bench.slice_events();
    bench.lists();
    bench.checks();
    bench.instance_list_memory();
    bench.many_instances();
    Ok(())
}

struct Bench {
    /// Runs the simulated platform and everything else that is not measured.
    servers: Runtime,
    /// Runs the client on the measured thread.
    client: Runtime,
}

impl Bench {
    fn renewals(&self) {
        let samples = [500, 1000, 2000, 4000].map(|count| {
            let standin = self.standin();
            self.sample(&standin, count, async |platform| {
                let mut lease = lease("i-1");
                let version = platform.create(LEASES, &lease).await;
                lease.resource_version = version.ok();
                for _ in 0..count {
                    lease.resource_version = platform.update(LEASES, &lease).await.ok();
                }
            })
        });
        print_slope("lease renewal", &samples);
    }

    fn reads(&self) {
        let samples = [500, 1000, 2000, 4000].map(|count| {
            let standin = self.standin();
            self.fill(&standin, LEASES, &lease("i-1"));
            self.sample(&standin, count, async |platform| {
                for _ in 0..count {
                    let read = platform.get::<Value>(LEASES, "i-1").await;
                    assert!(read.is_ok(), "{read:?}");
                }
            })
        });
        print_slope("lease read", &samples);
    }

    /// Measures the events of a watch of all leases.
    fn events(&self) {
        let samples = [500, 1000, 2000, 4000].map(|count| {
            let standin = self.standin();
            let writer = platform(&standin, "writer");
            let (tx, mut rx) = mpsc::channel::<()>(1);
            self.servers.spawn(async move {
                let mut lease = lease("i-1");
                let _started = rx.recv().await;
                lease.resource_version = writer.create(LEASES, &lease).await.ok();
                for _ in 1..count {
                    lease.resource_version = writer.update(LEASES, &lease).await.ok();
                }
            });
            let before = standin.stats().bytes_out;
            let mut sample = self.sample(&standin, count, async |platform| {
                watch_objects::<Value>(&platform, LEASES, count, &tx).await;
            });
            // The responses to the writer have a fixed size and are subtracted.
            let written = standin.stats().bytes_out - before;
            sample.bytes_received = written as f64 - self.response_bytes() * count as f64;
            sample.bytes_sent = 0.0;
            sample
        });
        print_slope("lease event watched", &samples);
    }

    /// Returns the size of the response to one renewal, in bytes.
    fn response_bytes(&self) -> f64 {
        let standin = self.standin();
        let count = 200;
        let sample = self.sample(&standin, count, async |platform| {
            let mut lease = lease("i-1");
            lease.resource_version = platform.create(LEASES, &lease).await.ok();
            for _ in 1..count {
                lease.resource_version = platform.update(LEASES, &lease).await.ok();
            }
        });
        sample.bytes_received / sample.size
    }

    /// Measures events of slices of increasing size. The slope is per endpoint.
    fn slice_events(&self) {
        const EVENTS: usize = 200;
        let samples = [10, 25, 50, 100].map(|size| {
            let standin = self.standin();
            let writer = platform(&standin, "writer");
            let (tx, mut rx) = mpsc::channel::<()>(1);
            self.servers.spawn(async move {
                let _started = rx.recv().await;
                let mut object = slice(0, size);
                object.resource_version = writer.create(ENDPOINT_SLICES, &object).await.ok();
                for _ in 1..EVENTS {
                    object.resource_version = writer.update(ENDPOINT_SLICES, &object).await.ok();
                }
            });
            let mut sample = self.sample(&standin, size, async |platform| {
                let mut list = InstanceList::default();
                let mut rx = platform.watch(ENDPOINT_SLICES, Selector::all());
                let mut seen = 0;
                while seen < EVENTS {
                    let Some(event) = rx.recv().await else { return };
                    match &event {
                        WatchEvent::Applied(_) => seen += 1,
                        WatchEvent::Synced { .. } => {
                            let _first = tx.try_send(());
                        }
                        _ => {}
                    }
                    list.apply(event);
                }
            });
            sample.cpu_us /= EVENTS as f64;
            sample.bytes_received /= EVENTS as f64;
            sample.bytes_sent = 0.0;
            sample
        });
        print_slope("endpoint in a slice event", &samples);
    }

    /// Measures full lists of slices (the slope is per endpoint), and version lists of slices and
    /// leases (the slope is per object).
    fn lists(&self) {
        let sizes = [200, 400, 800, 1600];
        let full = sizes.map(|size| {
            let standin = self.standin();
            self.fill_slices(&standin, size);
            let sample = self.sample(&standin, size, async |platform| {
                let all = Selector::all();
                for _ in 0..20 {
                    let listed = platform.list::<EndpointSlice>(ENDPOINT_SLICES, &all).await;
                    assert!(listed.is_ok(), "{listed:?}");
                }
            });
            Sample {
                cpu_us: sample.cpu_us / 20.0,
                bytes_sent: sample.bytes_sent / 20.0,
                bytes_received: sample.bytes_received / 20.0,
                ..sample
            }
        });
        print_slope("endpoint in a full list", &full);
        let versions = sizes.map(|size| {
            let standin = self.standin();
            self.fill_slices(&standin, size);
            self.sample_lists(&standin, ENDPOINT_SLICES, size / SLICE_SIZE)
        });
        print_slope("slice in a list of versions", &versions);
        let versions = [50, 100, 200, 400].map(|size| {
            let standin = self.standin();
            for index in 0..size {
                self.fill(&standin, LEASES, &lease(&format!("i-{index}")));
            }
            self.sample_lists(&standin, LEASES, size)
        });
        print_slope("lease in a list of versions", &versions);
    }

    /// Measures the checks that every instance makes: total bytes of one check, including headers.
    fn checks(&self) {
        self.check_of(CONFIG_HEADS, "head", &[1]);
        self.check_of(ENDPOINT_SLICES, "regatta-lm-000", &[5, 10, 20, 40]);
        let samples = self.check_of(ASSIGNMENTS, "roles", &[16, 32, 64, 128]);
        print_slope("assignment in a check", &samples);
    }

    fn check_of(&self, resource: Resource, name: &str, sizes: &[usize]) -> Vec<Sample> {
        let sizes = sizes.iter().map(|size| {
            let standin = self.standin();
            for index in 0..*size {
                let object = Object::new(format!("{name}-{index:02}"), json!({}));
                // Every slice has this label, which adds to the size of a metadata list.
                let object = match resource {
                    ENDPOINT_SLICES => object.with_label(SERVICE_LABEL, "regatta-lm"),
                    _ => object,
                };
                self.fill(&standin, resource, &object);
            }
            let calls = standin.stats().calls_of("list");
            let sample = self.sample_lists(&standin, resource, *size);
            let calls = (standin.stats().calls_of("list") - calls) / u64::from(LISTS);
            println!(
                "  check of {size} {}: {calls} calls, {:.0} B sent, {:.0} B received",
                resource.plural, sample.bytes_sent, sample.bytes_received
            );
            sample
        });
        sizes.collect()
    }

    /// Requests [`LISTS`] version lists and returns the cost of one.
    fn sample_lists(&self, standin: &PlatformHandle, resource: Resource, size: usize) -> Sample {
        let sample = self.sample(standin, size, async |platform| {
            for _ in 0..LISTS {
                let listed = platform.list_versions(resource, &Selector::all()).await;
                assert!(listed.is_ok_and(|listed| listed.items.len() == size));
            }
        });
        let lists = f64::from(LISTS);
        Sample {
            cpu_us: sample.cpu_us / lists,
            bytes_sent: sample.bytes_sent / lists,
            bytes_received: sample.bytes_received / lists,
            ..sample
        }
    }

    /// Measures the resident memory of the instance list per endpoint, in bytes.
    fn instance_list_memory(&self) {
        let samples = [6_400, 12_800, 25_600, 51_200].map(|size| {
            let before = resident_bytes();
            let mut list = InstanceList::default();
            for index in 0..size / SLICE_SIZE {
                list.apply(WatchEvent::Applied(slice(index, SLICE_SIZE)));
            }
            let used = resident_bytes() - before;
            assert_eq!(list.iter().count(), size);
            // Leak the list so that the next size does not reuse its memory.
            std::mem::forget(list);
            (size as f64, used)
        });
        let (slope, r2) = fit(&samples);
        println!("instance list: {slope:.0} resident bytes per endpoint, R2 {r2:.4}");
    }

    /// Measures the calls per second of many idle instances, each with a lease and three watches.
    fn many_instances(&self) {
        println!("idle instances, {SPEED} times real time, for {RUN:?}:");
        let samples = [10_usize, 20, 40, 80].map(|instances| {
            let standin = self.standin();
            self.fill_slices(&standin, 400);
            let started = self.servers.block_on(async {
                let running = (0..instances).map(|index| {
                    let platform = platform(&standin, &format!("i-{index}"));
                    platform.set_fleet_size(instances);
                    tokio::spawn(idle_instance(platform, format!("i-{index}")))
                });
                let running: Vec<_> = running.collect();
                tokio::time::sleep(WARM_UP).await;
                let started = standin.stats();
                tokio::time::sleep(RUN).await;
                running.iter().for_each(tokio::task::JoinHandle::abort);
                started
            });
            let stats = standin.stats();
            let seconds = (RUN * SPEED).as_secs_f64();
            let rate = |verb: &str| (stats.calls_of(verb) - started.calls_of(verb)) as f64 / seconds;
            let bytes = (stats.bytes_in + stats.bytes_out) - (started.bytes_in + started.bytes_out);
            println!(
                "  {instances:>3} instances: update {:.2}/s, list {:.2}/s, watch {:.2}/s, {:.0} B/s",
                rate("update"),
                rate("list"),
                rate("watch"),
                bytes as f64 / seconds,
            );
            let instances = instances as f64;
            ((instances, rate("update")), (instances, rate("watch")))
        });
        let (updates, r2) = fit(&samples.map(|(update, _)| update));
        println!("  {updates:.4} updates/s per instance, R2 {r2:.4}");
        let (watches, r2) = fit(&samples.map(|(_, watch)| watch));
        println!("  {watches:.4} watches opened/s per instance, R2 {r2:.4}");
    }

    fn standin(&self) -> PlatformHandle {
        let options = PlatformOptions {
            bookmark_interval: Duration::from_secs(60),
            ..PlatformOptions::default()
        };
        let started = self.servers.block_on(start_platform(options));
        started.expect("loopback is there")
    }

    fn fill<S: Serialize>(&self, standin: &PlatformHandle, resource: Resource, object: &Object<S>) {
        let platform = platform(standin, "filler");
        let created = self.servers.block_on(platform.create(resource, object));
        created.expect("the stand-in is up");
    }

    fn fill_slices(&self, standin: &PlatformHandle, endpoints: usize) {
        for index in 0..endpoints / SLICE_SIZE {
            self.fill(standin, ENDPOINT_SLICES, &slice(index, SLICE_SIZE));
        }
    }

    /// Runs `work` with a client on the measured thread and returns its cost.
    fn sample<F: Future<Output = ()>>(
        &self,
        standin: &PlatformHandle,
        size: usize,
        work: impl FnOnce(Platform) -> F,
    ) -> Sample {
        let platform = platform(standin, "i-1");
        let before = standin.stats();
        let cpu = thread_cpu_us();
        self.client.block_on(work(platform));
        let cpu_us = thread_cpu_us() - cpu;
        let after = standin.stats();
        Sample {
            size: size as f64,
            cpu_us,
            bytes_sent: (after.bytes_in - before.bytes_in) as f64,
            bytes_received: (after.bytes_out - before.bytes_out) as f64,
        }
    }
}

/// Simulates an idle instance, which renews its lease and keeps the watches that every instance
/// has.
async fn idle_instance(platform: Platform, name: String) {
    let timing = chervilshunt_platform::WatchTiming {
        min_check_interval: Duration::ZERO,
        checks_per_second: platform.config().watch.checks_per_second * f64::from(SPEED),
        settle: platform.config().watch.settle / SPEED,
        lifetime: platform.config().watch.lifetime / SPEED,
        ..platform.config().watch
    };
    let _watches = (
        platform.watch_with::<EndpointSlice>(ENDPOINT_SLICES, Selector::all(), timing),
        platform.watch_with::<Value>(CONFIG_HEADS, Selector::all(), timing),
        platform.watch_with::<Value>(ASSIGNMENTS, Selector::all(), timing),
    );
    let mut lease = lease(&name);
    lease.resource_version = platform.create(LEASES, &lease).await.ok();
    let mut renewal = tokio::time::interval(RENEWAL / SPEED);
    loop {
        renewal.tick().await;
        lease.resource_version = platform.update(LEASES, &lease).await.ok();
    }
}

/// Watches until `count` objects were received. Sends on `ready` once the watch is open.
async fn watch_objects<S>(
    platform: &Platform,
    resource: Resource,
    count: usize,
    ready: &mpsc::Sender<()>,
) where
    S: for<'de> Deserialize<'de> + Send + 'static,
{
    let mut rx = platform.watch::<S>(resource, Selector::all());
    let mut seen = 0;
    while seen < count {
        match rx.recv().await {
            Some(WatchEvent::Applied(_)) => seen += 1,
            Some(WatchEvent::Synced { .. }) => {
                let _first = ready.try_send(());
            }
            Some(_) => {}
            None => return,
        }
    }
}

fn platform(standin: &PlatformHandle, instance: &str) -> Platform {
    let mut cfg = PlatformConfig::new(standin.address(), "bench", InstanceId::from(instance));
    cfg.rate.per_second = 1e6;
    cfg.rate.burst = 1e6;
    Platform::new(cfg, Logger::root(Discard, o!()))
}

fn lease(name: &str) -> Object<Value> {
    let spec = json!({
        "holderIdentity": name,
        "leaseDurationSeconds": 15,
        "acquireTime": "2026-01-01T00:00:00.000000Z",
        "renewTime": "2026-01-01T00:00:00.000000Z",
        "leaseTransitions": 0,
    });
    Object::new(name, spec).with_label("chervilshunt.io/zone", "esbjerg-a")
}

fn slice(index: usize, size: usize) -> Object<EndpointSlice> {
    let endpoints = (0..size).map(|number| Endpoint {
        addresses: vec![format!("10.{}.{}.{number}", index / 256, index % 256).into()],
        target_ref: Some(TargetRef {
            kind: Some("Pod".into()),
            name: format!("engine-{index}-{number}").into(),
        }),
        zone: Some("esbjerg-a".into()),
        ..Endpoint::default()
    });
    let spec = EndpointSlice {
        address_type: "IPv4".into(),
        endpoints: endpoints.collect(),
        ports: vec![EndpointPort {
            name: "http".into(),
            port: 8000,
        }],
    };
    Object::new(format!("regatta-lm-{index:05}"), spec).with_label(SERVICE_LABEL, "regatta-lm")
}

fn thread_cpu_us() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

fn resident_bytes() -> f64 {
    const PAGE: f64 = 4096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0.0) * PAGE
}

fn print_slope(what: &str, samples: &[Sample]) {
    let of = |field: fn(&Sample) -> f64| {
        let points: Vec<_> = samples
            .iter()
            .map(|sample| (sample.size, field(sample)))
            .collect();
        fit(&points)
    };
    let (cpu, r2) = of(|sample| sample.cpu_us);
    let (sent, _) = of(|sample| sample.bytes_sent);
    let (received, _) = of(|sample| sample.bytes_received);
    println!("{what:<28}{cpu:>12.2}{sent:>12.1}{received:>12.1}{r2:>8.4}");
}

/// Fits a line by least squares. Returns its slope and the coefficient of determination (R2).
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum = |term: &dyn Fn(f64, f64) -> f64| {
        let terms = points.iter().map(|(x, y)| term(x - mean_x, y - mean_y));
        terms.sum::<f64>()
    };
    let xy = sum(&|x, y| x * y);
    let xx = sum(&|x, _| x * x);
    let yy = sum(&|_, y| y * y);
    (xy / xx, xy * xy / (xx * yy))
}
