//! Tests of complete tables and of the plots drawn from them.

use chervilshunt_bench::plot::{Quantity, draw};
use chervilshunt_bench::policy::{DeploymentKind, Matrix, Policy, ResultsTable, Scenario, render};

const POLICIES: [Policy; 4] = [
    Policy::Chervilshunt,
    Policy::Lru,
    Policy::Static,
    Policy::Clairvoyant,
];

fn matrix(jobs: usize) -> Matrix {
    Matrix {
        deployments: DeploymentKind::ALL.to_vec(),
        scenarios: vec![Scenario::Steady, Scenario::DeferrableFlood],
        policies: POLICIES.to_vec(),
        seeds: vec![3, 4],
        seconds: Some(30),
        load: 1.0,
        jobs,
    }
}

#[test]
fn table_does_not_depend_on_the_number_of_threads() {
    let text = |jobs| {
        let table = ResultsTable::new(&matrix(jobs));
        let json = serde_json::to_string(&table).expect("a table is plain data");
        (json, render(&table))
    };
    assert_eq!(text(1), text(4));
}

#[test]
fn table_reports_which_aims_were_met() {
    let table = ResultsTable::new(&matrix(4));

    assert_eq!(table.rows.len(), 16);
    let flood = table
        .aims
        .iter()
        .find(|aim| aim.deployment == "kolvand" && aim.figure == "live wait p99 over steady");
    let flood = flood.expect("the flood has an aim");
    let wait = |scenario: &str| {
        let row = table.rows.iter().find(|row| {
            (row.deployment.as_str(), row.policy.as_str()) == ("kolvand", "chervilshunt")
                && row.scenario == scenario
        });
        row.and_then(|row| row.live_wait_ms_p99).expect("it ran")
    };
    let measured = flood.measured.expect("both scenarios ran");
    assert!((measured - wait("deferrable-flood") / wait("steady")).abs() < 1e-3);
    assert_eq!(flood.met, Some(measured <= flood.bound));
    assert!(render(&table).contains("| kolvand | deferrable-flood | live wait p99 over steady |"));
}

#[test]
fn aim_without_a_baseline_is_reported_as_not_run() {
    let mut matrix = matrix(4);
    matrix.policies = vec![Policy::Chervilshunt];
    let table = ResultsTable::new(&matrix);

    let over_lru = table
        .aims
        .iter()
        .filter(|aim| aim.figure.ends_with("over lru"));
    let met: Vec<Option<bool>> = over_lru.map(|aim| aim.met).collect();
    assert!(
        !met.is_empty() && met.iter().all(Option::is_none),
        "{met:?}"
    );
    assert!(render(&table).contains("| not run |"));
}

/// Guards against plots that lack a policy, a scenario, a bar, the label of the figure or the values
/// of the axis.
#[test]
fn plots_show_each_policy_and_the_axis() {
    let table = ResultsTable::new(&matrix(4));

    for deployment in ["hollowell", "kolvand"] {
        for figure in Quantity::ALL {
            let svg = draw(&table, deployment, figure).expect("it can be drawn");
            let of_figure = table
                .rows
                .iter()
                .filter(|row| row.deployment == deployment && figure.value(row).is_some());
            let mut bars = 0;
            for row in of_figure {
                assert!(svg.contains(&row.policy), "{} is missing", row.policy);
                assert!(svg.contains(&row.scenario), "{} is missing", row.scenario);
                bars += 1;
            }
            assert!(bars >= 6);
            assert!(svg.matches("<rect").count() > bars, "a bar is missing");
            assert!(svg.contains(figure.label()));
            let value = |text: &str| text.trim().parse::<f64>().is_ok();
            let scale = svg.split('>').filter_map(|part| part.split('<').next());
            assert!(scale.filter(|text| value(text)).count() >= 2, "no scale");
        }
    }
    let efficiency = draw(&table, "kolvand", Quantity::Efficiency).expect("it can be drawn");
    assert!(
        !efficiency.contains("clairvoyant"),
        "a bound on stalls has no efficiency"
    );
}
