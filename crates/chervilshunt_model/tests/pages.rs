//! Tests of the pages into which a deployment is divided for storage.

use chervilshunt_model::{
    Adapter, Deployment, Page, PageError, PageId, Priority, Revision, Service, ServiceKind,
    Version, VersionMap,
};
use rstest::rstest;

const ADAPTERS: usize = 2_000;

fn deployment() -> Deployment {
    let mut deployment = Deployment {
        revision: Revision::new(41),
        ..Deployment::default()
    };
    let service = Service {
        kind: ServiceKind::Engine {
            base_model: "base".into(),
        },
        priority: "live".into(),
        idempotent: true,
        deadline_ms: 1_000,
    };
    deployment.services.insert("regatta-lm".into(), service);
    let priority = Priority {
        class: chervilshunt_model::Class::Live,
        weight: 1,
    };
    deployment.priorities.insert("live".into(), priority);
    deployment.adapters = (0..ADAPTERS)
        .map(|number| {
            let version = Version {
                source: format!("s3://club-{number}").into(),
            };
            let adapter = Adapter {
                service: "regatta-lm".into(),
                priority: (number % 3 == 0).then(|| "live".into()),
                versions: if number % 5 == 0 {
                    VersionMap::new()
                } else {
                    VersionMap::from([("v1".into(), version)])
                },
            };
            (format!("club-{number}").as_str().into(), adapter)
        })
        .collect();
    deployment
}

#[test]
fn deployment_round_trips_through_pages() {
    let deployment = deployment();
    let texts: Vec<_> = deployment
        .pages()
        .map(|(id, page)| {
            let text = serde_json::to_string(&page).expect("a page can be written");
            (id.to_string(), text)
        })
        .collect();
    assert_eq!(texts.len(), 257);
    let pages = texts.iter().rev().map(|(id, text)| {
        let page: Page = serde_json::from_str(text).expect("a page can be read");
        (PageId::parse(id).expect("the name is a page's"), page)
    });
    let read = Deployment::from_pages(Revision::new(41), pages).expect("the pages fit");
    assert_eq!(read, deployment);
    assert_eq!(read.adapters.len(), ADAPTERS);
}

#[test]
fn decoded_adapters_share_the_names_of_service_and_priority() {
    let text: Vec<_> = deployment()
        .pages()
        .map(|(id, page)| (id, serde_json::to_string(&page).expect("it can be written")))
        .collect();
    let pages = text
        .iter()
        .map(|(id, text)| (*id, serde_json::from_str(text).expect("it can be read")));
    let read = Deployment::from_pages(Revision::new(41), pages).expect("the pages fit");
    let (service, _) = read.services.first_key_value().expect("there is one");
    let (priority, _) = read.priorities.first_key_value().expect("there is one");
    for adapter in read.adapters.values() {
        assert!(std::ptr::eq(adapter.service.as_str(), service.as_str()));
        if let Some(own) = &adapter.priority {
            assert!(std::ptr::eq(own.as_str(), priority.as_str()));
        }
    }
}

#[test]
fn deployment_round_trips_through_json() {
    let deployment = deployment();
    let text = serde_json::to_string(&deployment).expect("a deployment can be written");
    let read: Deployment = serde_json::from_str(&text).expect("a deployment can be read");
    assert_eq!(read, deployment);
}

/// The platform stores adapters in these pages. With a different hash, stored pages could not be
/// read.
#[rstest]
#[case("flat-1", "adapters-2b")]
#[case("club-1999", "adapters-3b")]
fn page_of_an_adapter_never_changes(#[case] adapter: &str, #[case] page: &str) {
    assert_eq!(PageId::of_adapter(&adapter.into()).to_string(), page);
}

#[rstest]
#[case("adapters-0")]
#[case("adapters-0A")]
#[case("adapters-+1")]
#[case("adapters-100")]
#[case("commons")]
#[case("")]
fn invalid_page_names_are_refused(#[case] name: &str) {
    let error = PageId::parse(name).expect_err("the name is invalid");
    assert!(matches!(error, PageError::NoSuchPage { .. }));
}

#[test]
fn page_under_a_wrong_id_is_refused() {
    let deployment = deployment();
    let here = PageId::Adapters(0);
    let misplaced = deployment.with_pages(
        Revision::new(42),
        [(here, deployment.page(PageId::Adapters(1)))],
    );
    assert!(matches!(misplaced, Err(PageError::MisplacedAdapter { .. })));
    let other_kind =
        deployment.with_pages(Revision::new(42), [(here, deployment.page(PageId::Common))]);
    assert_eq!(other_kind, Err(PageError::WrongKind { id: here }));
}
