//! Measures [`merge_files`] at the size to come: 8,000 workspaces, 36 models and 5,300 targets.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;

use tokio::time::Instant;

use banyan_config::merge_files;
use banyan_core::ids::FileId;

const FILES: u32 = 40;
const WORKSPACES: u32 = 8000;
const MODELS: u32 = 36;
const TARGETS: u32 = 5300;
const STAGES: u32 = 4;
const CHANGES_A_DAY: f64 = 5200.0;
const RUNS: u32 = 20;
const SECONDS_A_DAY: f64 = 86_400.0;

fn main() {
    let files = declared_files();
    let bytes: usize = files.values().map(|text| text.len()).sum();
    let mut times = Vec::new();
    for _ in 0..RUNS {
        let start = Instant::now();
        let declaration = merge_files(&files).unwrap_or_else(|message| panic!("{message}"));
        times.push(start.elapsed().as_secs_f64());
        assert_eq!(declaration.targets.len(), TARGETS as usize);
        assert_eq!(declaration.workspaces.len(), WORKSPACES as usize);
    }
    times.sort_by(f64::total_cmp);
    let median = times[times.len() / 2];
    let worst = times[times.len() - 1];
    let share = 100.0 * median * CHANGES_A_DAY / SECONDS_A_DAY;
    println!(
        "files={FILES} bytes={bytes} median_ms={:.2} worst_ms={:.2} percent_of_a_core={share:.3}",
        median * 1e3,
        worst * 1e3,
    );
}

fn declared_files() -> BTreeMap<FileId, Arc<str>> {
    (0..FILES).map(|file| (file_name(file), Arc::from(file_text(file)))).collect()
}

fn file_name(file: u32) -> FileId {
    format!("file-{file:02}").parse().unwrap_or_else(|error| panic!("{error}"))
}

fn file_text(file: u32) -> String {
    let mut text = String::from("{\n");
    if file == 0 {
        let zones = (0..9).map(|zone| format!("{{\"name\":\"z{zone}\",\"region\":\"r\"}}"));
        let zones: Vec<String> = zones.collect();
        let _ = writeln!(text, "\"zones\": [{}],", zones.join(","));
    }
    text.push_str("\"workspaces\": [\n");
    for row in (file..WORKSPACES).step_by(FILES as usize) {
        let _ = writeln!(
            text,
            "{{ \"name\": \"workspace-{row}\", \"token_digests\": [\"{row:064x}\"], \"share\": 3, \
             \"requests_per_second\": 40 }},"
        );
    }
    text.push_str("],\n\"models\": [\n");
    for row in (file..MODELS).step_by(FILES as usize) {
        let _ = writeln!(text, "{{ \"name\": \"model-{row}\", \"layers\": 48 }},");
    }
    text.push_str("],\n\"targets\": [\n");
    for row in (file..TARGETS).step_by(FILES as usize) {
        let model = row % MODELS;
        let first = (row / MODELS) % STAGES * 12;
        let _ = writeln!(
            text,
            "{{ \"name\": \"engine-{row}\", \"address\": \"10.1.{}.{}:8080\", \"zone\": \"z{}\", \
             \"engine\": {{ \"model\": \"model-{model}\", \"layers\": \"{first}-{}\", \
             \"batch\": 32, \"accelerator\": \"a\", \"step_ms\": 20, \
             \"link_bytes_per_second\": 1000000000 }} }},",
            row / 250,
            row % 250 + 1,
            row % 9,
            first + 11,
        );
    }
    text.push_str("],\n}\n");
    text
}
