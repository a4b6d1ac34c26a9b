//! Plays the scripted cases of the third review: `sim CASE RECORD`, in the repository root.
//!
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod crash;
mod engine;
mod http;
mod late;
mod memory;
mod record;
mod resume;
mod router;
mod stage;
mod store;
mod stray;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: sim CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = match case.as_str() {
        "memory" => memory::play,
        "late" => late::play,
        "resume" => resume::play,
        "failures" => crash::play,
        "service" => stray::play,
        _ => {
            eprintln!("no case {case}");
            std::process::exit(2);
        }
    };
    let code = match std::panic::catch_unwind(|| play(path, has_trouble)) {
        Ok(Ok(true)) => 1,
        Ok(Ok(false)) => 0,
        Ok(Err(why)) => {
            eprintln!("the case could not run: {why}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}
