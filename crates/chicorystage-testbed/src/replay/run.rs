use std::path::{Path, PathBuf};

use chicorystage_api::inventory::Class;

use crate::replay::sim::Simulation;
use crate::replay::{
    Deployment, Policy, ReplayOptions, Report, Scenario, TraceRow, check, plot, record_all,
};

/// Runs the `replay` command and returns whether every checked outcome is met.
///
/// The result is `true` where the options do not ask for a check.
///
/// # Errors
///
/// Fails where a trace cannot be read, or nothing matches the options.
pub fn run(options: &ReplayOptions) -> anyhow::Result<bool> {
    let directory = Path::new(&options.traces);
    if options.action.as_deref() == Some("record") {
        record_all(directory)?;
        return Ok(true);
    }
    let mut policies = Policy::all();
    if let Some(name) = &options.policy {
        policies.retain(|policy| policy.name == *name);
    }
    let files = scenario_files(directory, options.trace.as_deref())?;
    anyhow::ensure!(
        !policies.is_empty() && !files.is_empty(),
        "no policy or no trace matches the options"
    );
    println!("{}", Report::head());
    let mut findings = Vec::new();
    for file in files {
        let scenario = Scenario::read(&file)?;
        let rows = TraceRow::read_all(&file.with_extension("csv"))?;
        let mut reports = Vec::new();
        for policy in &policies {
            let report = replay(&scenario, &rows, policy, options.weight)?;
            println!("{}", report.line());
            reports.push(report);
        }
        if let Some(plots) = &options.plot {
            plot::write_plot(Path::new(plots), &scenario.name, &reports)?;
        }
        findings.extend(check(&scenario, &reports));
    }
    if options.check {
        println!();
        for finding in &findings {
            let verdict = if finding.met { "met" } else { "NOT MET" };
            println!("{verdict}: {}: {}", finding.trace, finding.text);
        }
    }
    Ok(!options.check || findings.iter().all(|finding| finding.met))
}

/// Replays one trace under one policy and returns its results.
///
/// `weight` replaces the deployment's cold-start weight, 0 to 100.
///
/// # Errors
///
/// Fails where the scenario names an unknown deployment.
pub fn replay(
    scenario: &Scenario,
    rows: &[TraceRow],
    policy: &Policy,
    weight: Option<u32>,
) -> anyhow::Result<Report> {
    let Some(deployment) = Deployment::named(&scenario.deployment) else {
        anyhow::bail!("unknown deployment {:?}", scenario.deployment);
    };
    let weight = weight.unwrap_or(deployment.cold_start_weight_percent);
    let tally_of = |rows: &[TraceRow]| {
        let simulation = Simulation::new(&deployment, policy, &scenario.faults, rows, weight);
        simulation.run(scenario.length_ms)
    };
    let tally = tally_of(rows);
    let policy_id = (policy.name, policy.is_fixed_keep_alive);
    let mut report = Report::new(scenario, &deployment, policy_id, &tally);
    if scenario.outcomes.top_class_percent_min.is_some() {
        let top = rows.iter().filter(|row| row.class == Class::Interactive);
        let alone = tally_of(&top.cloned().collect::<Vec<_>>());
        report.top_class_percent = Some(report.top_class_answered * 100 / alone.answered.max(1));
    }
    Ok(report)
}

fn scenario_files(directory: &Path, name_part: Option<&str>) -> anyhow::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(directory)? {
        let path = entry?.path();
        let is_scenario = path.extension().is_some_and(|extension| extension == "ini");
        let name = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .unwrap_or("");
        if is_scenario && name_part.is_none_or(|name_part| name.contains(name_part)) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
