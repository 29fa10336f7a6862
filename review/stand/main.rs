//! The review's cases: `stand CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held,
//! 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod wire;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("stand CASE RECORD");
        std::process::exit(2)
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = world::Record::new(record);
    record.say(format!("case {case}, trouble: {trouble}"));
    let dir = std::env::temp_dir().join(format!("pebblefold-review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    world::adopt_orphans();
    let (r, d) = (record.clone(), dir.clone());
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs_f64(118.5 - r.at()));
        r.say("not over in time");
        world::end_all(&d);
        std::process::exit(2)
    });
    let held = match case.as_str() {
        "mark" => cases::mark::run(&record, &dir, trouble),
        "limits" => cases::limits::run(&record, &dir, trouble),
        "agent" => cases::agent::run(&record, &dir, trouble),
        _ => {
            eprintln!("no case {case}");
            std::process::exit(2)
        }
    };
    world::end_all(&dir);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    match held {
        Some(true) => {
            record.say("the rule held");
            println!("the rule held");
        }
        Some(false) => {
            record.say("the rule was broken");
            println!("the rule was broken");
            std::process::exit(1)
        }
        None => {
            record.say("the case could not run");
            println!("the case could not run");
            std::process::exit(2)
        }
    }
}
