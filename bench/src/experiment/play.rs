//! Plays the days of one variant in a checkout of its own.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;

use super::ExperimentError;
use super::entries::label;
use super::entries::read_entries;
use super::plan::Plan;
use super::plan::Variant;

/// The program that is played; the workspace's release build.
const PROGRAM: &str = "target/release/banyan-serve";

/// One day to play.
#[derive(Clone, Debug)]
struct Task {
    site: PathBuf,
    day: String,
    seed: u64,
}

/// Makes the checkout of a variant, unless it is there: the sources, the
/// program as it was built here, and a deploy file that switches the mechanism
/// off.
pub(super) fn prepare(plan: &Plan, variant: &Variant) -> Result<PathBuf, ExperimentError> {
    let checkout = plan.folder.join(variant.to_string());
    if checkout.join(PROGRAM).exists() {
        return Ok(checkout);
    }
    let failed = |path: &Path| {
        let path = path.to_owned();
        move |e| ExperimentError::File(path, e)
    };
    std::fs::create_dir_all(&plan.folder).map_err(failed(&plan.folder))?;
    let mut clone = Command::new("git");
    clone.args(["clone", "--quiet", "."]).arg(&checkout);
    finish(&mut clone)?;
    let journal = checkout.join("journal");
    std::fs::remove_dir_all(&journal).map_err(failed(&journal))?;
    std::fs::create_dir_all(&journal).map_err(failed(&journal))?;
    let deploy = checkout.join("deploy/system.toml");
    let text = std::fs::read_to_string(&deploy).map_err(failed(&deploy))?;
    let lines = text.lines().map(|line| match line.split_once(" = ") {
        Some(("build", _)) => "build = \"true\"".to_owned(),
        Some(("run", run)) => match variant.0 {
            Some(_) => format!(
                "run = {} --experiment deploy/experiment.toml\"",
                run.trim_end_matches('"')
            ),
            None => line.to_owned(),
        },
        _ => line.to_owned(),
    });
    let lines: Vec<_> = lines.collect();
    std::fs::write(&deploy, lines.join("\n")).map_err(failed(&deploy))?;
    if variant.0.is_some() {
        let file = checkout.join("deploy/experiment.toml");
        let text = format!("[experiment]\noff = [\"{variant}\"]\n");
        std::fs::write(&file, text).map_err(failed(&file))?;
    }
    let program = checkout.join(PROGRAM);
    let folder = checkout.join("target/release");
    std::fs::create_dir_all(&folder).map_err(failed(&folder))?;
    std::fs::copy(PROGRAM, &program).map_err(failed(&program))?;
    Ok(checkout)
}

/// Plays what is not in the checkout's journal yet.
pub(super) fn play(plan: &Plan, variant: &Variant, checkout: &Path) -> Result<(), ExperimentError> {
    let done = read_entries(&checkout.join("journal"), variant)?;
    let is_done = |t: &Task| {
        let site = t.site.file_stem().and_then(|s| s.to_str());
        done.iter()
            .any(|d| Some(d.site.as_str()) == site && d.name == t.day && d.seed == t.seed)
    };
    let mut tasks = Vec::new();
    for site in &plan.sites {
        for day in &plan.days {
            tasks.extend(plan.seeds.iter().map(|seed| Task {
                site: site.clone(),
                day: day.clone(),
                seed: *seed,
            }));
        }
    }
    tasks.retain(|t| !is_done(t));
    println!("{variant}: {} days", tasks.len());
    let tasks = Mutex::new(tasks);
    let next = || tasks.lock().ok().and_then(|mut left| left.pop());
    let work = || -> Result<(), ExperimentError> {
        while let Some(task) = next() {
            play_one(plan, variant, checkout, &task)?;
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.jobs).map(|_| scope.spawn(work)).collect();
        let mut ends = workers.into_iter().map(|w| w.join());
        let lost = || ExperimentError::Command("a worker broke off".to_owned());
        ends.try_for_each(|end| end.unwrap_or_else(|_| Err(lost())))
    })
}

fn play_one(
    plan: &Plan,
    variant: &Variant,
    checkout: &Path,
    task: &Task,
) -> Result<(), ExperimentError> {
    let absolute = |path: &Path| {
        let found = std::path::absolute(path);
        found.map_err(|e| ExperimentError::File(path.to_owned(), e))
    };
    let mut player = Command::new(absolute(&plan.player)?);
    player
        .current_dir(checkout)
        .arg("run")
        .arg(absolute(&task.site)?)
        .arg(&task.day)
        .args(["--seed", &task.seed.to_string(), "--jobs", "1"])
        .args(["--why", &label(variant)])
        .args(&plan.arguments);
    finish(&mut player)
}

/// Runs a program to its end; what it prints is shown when it fails.
fn finish(command: &mut Command) -> Result<(), ExperimentError> {
    let failed = |e: String| ExperimentError::Command(format!("{command:?}: {e}"));
    let output = Command::new(command.get_program())
        .args(command.get_args())
        .current_dir(command.get_current_dir().unwrap_or(Path::new(".")))
        .stdin(Stdio::null())
        .output();
    let output = output.map_err(|e| failed(e.to_string()))?;
    match output.status.success() {
        true => Ok(()),
        false => Err(failed(String::from_utf8_lossy(&output.stderr).into_owned())),
    }
}
