//! Runs one stand-in as a process of its own.

use std::thread;

use waxwing_standin::engine;
use waxwing_standin::log;

fn main() -> std::io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let kind = arguments.next().unwrap_or_default();
    let address = arguments.next().unwrap_or_else(|| "127.0.0.1:0".to_owned());
    let bound = match kind.as_str() {
        "log" => log::start(&address)?,
        "engine" => engine::start(&address, engine::Config::default())?,
        _ => return Err(std::io::Error::other("usage: standin log|engine [ADDRESS]")),
    };
    println!("{bound}");
    loop {
        thread::park();
    }
}
