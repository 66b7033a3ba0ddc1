//! Measures the cost of a deployment by its number of adapters: memory, page size, and the time to
//! apply a change and to encode and decode a page.
//!
//! Run it with `cargo run --release -p chervilshunt_model --example size`. The figures are in
//! `docs/design/configuration-pages.md`.

use std::time::{Duration, Instant};

use chervilshunt_model::{
    Adapter, AdapterName, AdapterVersion, Change, ChangeId, ChangeSet, Class, Deployment, Edit,
    Page, PageId, Priority, Revision, Service, ServiceKind, Version, VersionMap,
};
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOC: PeakAlloc = PeakAlloc;

const COUNTS: [usize; 4] = [3_000, 20_000, 80_000, 170_000];
const APPLIES: u32 = 1_000;

fn main() {
    println!(
        "adapters  heap bytes/adapter  heap MB  biggest page (JSON bytes)  JSON bytes/adapter  \
         apply us  encode page us  decode page us  change set (CBOR bytes)"
    );
    for count in COUNTS {
        measure(count);
    }
}

fn measure(count: usize) {
    let pages = encoded_pages(count);
    let before = ALLOC.current_usage();
    let read = pages.iter().map(|(id, text)| {
        (
            *id,
            serde_json::from_str(text).expect("the page was written"),
        )
    });
    let deployment = Deployment::from_pages(Revision::new(1), read).expect("the pages fit");
    let heap = ALLOC.current_usage() - before;
    let json: usize = pages.iter().map(|(_, text)| text.len()).sum();
    let (biggest_id, biggest) = pages
        .iter()
        .max_by_key(|(_, text)| text.len())
        .expect("there are pages");

    let set = one_change(count);
    let apply = time(|| drop(deployment.apply(&set).expect("the change fits")));
    let encode = time(|| {
        drop(serde_json::to_string(&deployment.page(*biggest_id)).expect("it can be written"));
    });
    let decode = time(|| drop(serde_json::from_str::<Page>(biggest).expect("it can be read")));
    let mut cbor = Vec::new();
    ciborium::into_writer(&set, &mut cbor).expect("a change set can be written");
    println!(
        "{count:8}  {:18}  {:7.1}  {:25}  {:18}  {:8.1}  {:14.1}  {:14.1}  {:23}",
        heap / count,
        heap as f64 / 1e6,
        biggest.len(),
        json / count,
        micros(apply),
        micros(encode),
        micros(decode),
        cbor.len(),
    );
}

fn time(mut f: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..APPLIES {
        f();
    }
    start.elapsed() / APPLIES
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn name(number: usize) -> String {
    format!("tenant-{number:06}-assistant")
}

fn one_change(count: usize) -> ChangeSet {
    ChangeSet {
        id: ChangeId::from_u128(u128::MAX),
        expected: Some(Revision::new(1)),
        changes: vec![Change::Version {
            name: AdapterVersion::new(name(count / 2).as_str(), "v2"),
            edit: Edit::Create(version(count / 2, "v2")),
        }],
    }
}

fn version(number: usize, name: &str) -> Version {
    Version {
        source: format!("s3://weights/adapters/tenant-{number:06}/{name}").into(),
    }
}

/// Encodes the pages of a deployment with three services and one version per adapter.
fn encoded_pages(count: usize) -> Vec<(PageId, String)> {
    let mut deployment = Deployment::default();
    for service in 0..3 {
        deployment.services.insert(
            format!("service-{service}").as_str().into(),
            Service {
                kind: ServiceKind::Engine {
                    base_model: format!("base-{service}").into(),
                },
                priority: "live".into(),
                idempotent: true,
                deadline_ms: 30_000,
            },
        );
    }
    let priority = Priority {
        class: Class::Live,
        weight: 1,
    };
    deployment.priorities.insert("live".into(), priority);
    deployment.adapters = (0..count)
        .map(|number| {
            let adapter = Adapter {
                service: format!("service-{}", number % 3).as_str().into(),
                priority: None,
                versions: VersionMap::from([("v1".into(), version(number, "v1"))]),
            };
            (AdapterName::from(name(number).as_str()), adapter)
        })
        .collect();
    deployment
        .pages()
        .map(|(id, page)| {
            let text = serde_json::to_string(&page).expect("a page can be written");
            (id, text)
        })
        .collect()
}
