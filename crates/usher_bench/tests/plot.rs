//! Tests that plots are written for every scenario and that the page is self-contained.

use usher_bench::{run, BenchOptions, ExperimentName, PolicyName};

/// Guards against a page without plots, or with references to other files.
#[test]
fn plots_and_page_are_written() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("plots");
    let options = BenchOptions::new(ExperimentName::Region)
        .with_policy(PolicyName::TwoChoices)
        .with_plot(folder.clone())
        .with_quick();
    run(&options).unwrap();
    let svg = folder.join("region-surge-loo-round-1-goodput.svg");
    let text = std::fs::read_to_string(svg).unwrap();
    assert!(text.contains("<svg") && text.contains("</svg>"));
    let page = std::fs::read_to_string(folder.join("index.html")).unwrap();
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(!page.contains("<script src") && !page.contains("<img"));
}

/// Guards against silently ignoring a folder that cannot be created.
#[test]
fn unusable_folder_is_an_error() {
    let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("not-a-folder");
    std::fs::write(&file, "x").unwrap();
    let options = BenchOptions::new(ExperimentName::Limits)
        .with_plot(file)
        .with_quick();
    let error = run(&options).unwrap_err().to_string();
    assert!(error.starts_with("plot "), "{error}");
}
