//! Tests that the workload reader accepts the documented format, and reports line and column of an
//! error.

use usher_bench::{parse_workload, FleetName, FleetSpec};

const HEADER: &str = "arrival_s,region,service,team,prompt_tokens,shared_prefix,output_tokens,deadline_s,idempotent\n";

fn fleet() -> FleetSpec {
    FleetSpec::new(FleetName::LooRound)
}

/// Guards against fields that are read from the wrong column.
#[test]
fn valid_lines_are_read_in_order_of_arrival() {
    let text = format!(
        "{HEADER}2.5,west-a,assist,firm-a/t1,300,,80,10,true\n\
         0.25,south-a,assist,firm-b/t2,5000,manual:2048,300,60,false\n"
    );
    let items = parse_workload(&text, &fleet()).unwrap();
    assert_eq!(items.len(), 2);
    assert_eq!(items[0].at, 250_000_000);
    assert_eq!((items[0].prompt, items[0].output), (5_000, 300));
    assert_eq!(items[0].prefixes[0].tokens.get(), 2_048);
    assert!(!items[0].idempotent);
    assert_eq!(items[1].team, "t1");
    assert_eq!(items[1].deadline, 12_500_000_000);
}

fn check_error(line: &str, column: &str) {
    let good = "1,south-a,assist,firm-a/t,300,,80,10,true";
    let text = format!("{HEADER}{good}\n{line}\n");
    let error = parse_workload(&text, &fleet()).unwrap_err().to_string();
    let expected = format!("workload line 3, column {column}:");
    assert!(error.starts_with(&expected), "{error}");
}

// Guards against an error that does not tell the planner where to look.
usher_types::cases! { check_error:
    arrival_that_is_no_number("x,south-a,assist,firm-a/t,300,,80,10,true", "arrival_s");
    arrival_that_is_negative("-1,south-a,assist,firm-a/t,300,,80,10,true", "arrival_s");
    arrival_that_is_not_finite("NaN,south-a,assist,firm-a/t,300,,80,10,true", "arrival_s");
    region_of_another_fleet("1,recife-a,assist,firm-a/t,300,,80,10,true", "region");
    service_without_engines("1,south-a,rounds,firm-a/t,300,,80,10,true", "service");
    team_without_firm("1,south-a,assist,t,300,,80,10,true", "team");
    prompt_of_zero("1,south-a,assist,firm-a/t,0,,80,10,true", "prompt_tokens");
    prompt_beyond_bounds("1,south-a,assist,firm-a/t,99999999,,80,10,true", "prompt_tokens");
    prefix_without_tokens("1,south-a,assist,firm-a/t,300,manual,80,10,true", "shared_prefix");
    output_with_fraction("1,south-a,assist,firm-a/t,300,,80.5,10,true", "output_tokens");
    deadline_missing("1,south-a,assist,firm-a/t,300,,80,,true", "deadline_s");
    idempotent_as_number("1,south-a,assist,firm-a/t,300,,80,10,1", "idempotent");
    column_missing("1,south-a,assist,firm-a/t,300,,80,10", "line");
}

/// Guards against reading a file with other columns as if they were the expected ones.
#[test]
fn wrong_header_is_refused() {
    let error = parse_workload("a,b\n", &fleet()).unwrap_err().to_string();
    assert!(
        error.starts_with("workload line 1, column header"),
        "{error}"
    );
}
