//! Runs experiments from the command line: `bench EXPERIMENT FLEET SEEDS [POLICY] [goals|json]`.
//!
//! `FLEET` may be `both`, and `SEEDS` a list such as `1,2,3`. With `goals`, it prints only one
//! line per goal, for comparing runs.

use usher_bench::{run, BenchError, BenchOptions, ExperimentName, ExperimentReport, FleetName};

fn main() -> Result<(), BenchError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |at: usize, default: &str| {
        let given = arguments.get(at).cloned();
        given.unwrap_or_else(|| default.to_owned())
    };
    let experiment: ExperimentName = argument(0, "all").parse()?;
    let fleets = match argument(1, "both").as_str() {
        "both" => vec![FleetName::LooRound, FleetName::ContasTercos],
        name => vec![name.parse()?],
    };
    let seeds = argument(2, "1");
    let mut report = ExperimentReport::default();
    for fleet in fleets {
        for seed in seeds.split(',').filter_map(|seed| seed.parse().ok()) {
            let mut options = BenchOptions::new(experiment)
                .with_fleet(fleet)
                .with_seed(seed);
            let policy = argument(3, "all");
            if policy != "all" {
                options = options.with_policy(policy.parse()?);
            }
            report.extend(run(&options)?);
        }
    }
    match argument(4, "table").as_str() {
        "goals" => print_goals(&report),
        "json" => println!("{}", report.to_json()?),
        _ => print!("{report}"),
    }
    Ok(())
}

fn print_goals(report: &ExperimentReport) {
    let mut lines = std::collections::BTreeMap::new();
    for goal in &report.goals {
        let key = format!("{} {} {}", goal.experiment, goal.fleet, goal.goal);
        let (figures, bound, sign, missed) = lines
            .entry(key)
            .or_insert_with(|| (Vec::new(), goal.bound, goal.at_most, 0));
        figures.push(format!("{:.3}", goal.measured));
        *missed += usize::from(!goal.holds);
        debug_assert!(*bound == goal.bound && *sign == goal.at_most);
    }
    for (key, (figures, bound, at_most, missed)) in lines {
        let sign = if at_most { "<=" } else { ">=" };
        println!(
            "{key} {sign} {bound}: {} | missed {missed}",
            figures.join(" ")
        );
    }
}
