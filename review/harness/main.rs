//! Cases of the review that are scripts: `harness CASE ROOT RECORD`.
//!
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run. Without the disruption
//! if `TROUBLE=0` is set.

mod cases;
mod client;
mod fleet;
mod host;
mod http;
mod json;
mod packet;
mod record;
mod site;
mod store;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, root, record] = &arguments[..] else {
        eprintln!("usage: harness CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = record::Record::create(Path::new(record)).and_then(|record| {
        record.say(&format!("case {case}, trouble: {has_trouble}"));
        let verdict = cases::run(case, Path::new(root), has_trouble, &record);
        match &verdict {
            Ok(cases::Verdict::Held) => record.say("the rule held"),
            Ok(cases::Verdict::Broken(how)) => record.say(&format!("rule broken: {how}")),
            Err(error) => record.say(&format!("the case could not run: {error}")),
        }
        verdict
    });
    match verdict {
        Ok(cases::Verdict::Held) => ExitCode::SUCCESS,
        Ok(cases::Verdict::Broken(_)) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
