//! What rehearsals in simulated time carry: seconds of a day for each second,
//! by machines and jobs. Run with `cargo bench -p pebblefold-rehearsal`; the
//! figures are of the machine at hand, the machines in them are simulated.

use pebblefold_simulator::script::Script;
use pebblefold_simulator::simulated;

fn script(machines: u32, jobs: u32) -> Script {
    let up = machines / 3;
    let text = format!(
        r#"
name = "carry"
length_s = 240
[cluster]
zones = ["a", "b", "c"]
controllers = ["a", "b", "c"]
state = {{ rps = 2000.0, write_rps = 1000.0 }}
kinds = [{{ name = "quad", cpus = 32, gpus = 4, memory_gb = 192, cache_gb = 60, fetch_gb_per_s = 2.0, price = 8.0, spot_price = 2.0, boot_s = 8 }}]
machines = [
  {{ kind = "quad", zone = "a", capacity = {up}, up = {up} }},
  {{ kind = "quad", zone = "b", capacity = {up}, up = {up} }},
  {{ kind = "quad", zone = "c", capacity = {up}, up = {up} }},
]
teams = [{{ name = "t" }}]
[[jobs]]
class = "arrays"
team = "t"
priority = "normal"
shape = "array"
count = {jobs}
over_s = 60
tasks = [1, 8]
cpus = 8
gpus = 1
memory_gb = 30
images = 4
image_gb = 2
run_s = [10, 40]
"#
    );
    Script::parse("carry", &text).expect("a script")
}

fn main() {
    for (machines, jobs) in [(90, 200), (900, 1000), (3000, 3000)] {
        let v = simulated::rehearse(script(machines, jobs), 1).expect("it starts");
        println!(
            "{machines:>5} machines, {jobs:>5} jobs: {:>6.1} simulated seconds a second, {} starts, {} done, {} rules broken",
            v.length_s / v.took_s,
            v.starts,
            v.done,
            v.broken.len()
        );
    }
}
