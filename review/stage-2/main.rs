//! Runs one case of this review: `stage CASE FOLDER` with the case's number and its folder. Exit code 1: the rule was
//! broken; 0: it held; 2: the case could not be run.

#[path = "../6/case.rs"]
mod case_6;
#[path = "../7/case.rs"]
mod case_7;
#[path = "../8/case.rs"]
mod case_8;
#[path = "../9/case.rs"]
mod case_9;
#[path = "../10/case.rs"]
mod case_10;
mod stage;

use stage::{Folder, Record};
use std::path::Path;
use std::process::exit;

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stage CASE FOLDER");
        exit(2);
    };
    let run = || {
        let record = Record::create(&Path::new(folder).join("record.txt"))?;
        record.line(&format!("case {case}, {}", if stage::with_trouble() { "with the disruption" } else { "TROUBLE=0" }));
        let temporary = Folder::create()?;
        match case.as_str() {
            "6" => case_6::run(&record, &temporary.0),
            "7" => case_7::run(&record, &temporary.0),
            "8" => case_8::run(&record, &temporary.0),
            "9" => case_9::run(&record, &temporary.0),
            "10" => case_10::run(&record, &temporary.0),
            _ => Err(format!("no case {case}")),
        }
    };
    match run() {
        Ok(true) => exit(1),
        Ok(false) => exit(0),
        Err(why) => {
            eprintln!("the case could not be run: {why}");
            exit(2);
        }
    }
}
