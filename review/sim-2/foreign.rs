//! An entry with missing fields, from another writer, in the list of engines.

use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::deployment::request_head;
use crate::deployment::Deployment;
use crate::engine::Engine;
use crate::engine::Work;
use crate::http;
use crate::http::Caller;
use crate::record::Record;

/// Bell changes that are sent.
const CHANGES: usize = 60;

/// Time limit of a bell change, in milliseconds.
const LIMIT_MS: u64 = 3_000;

pub fn run(record: &Record, has_trouble: bool) -> Result<bool, String> {
    let deployment = Deployment::new(2, record)?;
    let mut engines = Vec::new();
    for index in 0..3 {
        let plan =
            Arc::new(|_: &_| Work::Answer(Duration::from_millis(60), 200, "changed".to_owned()));
        let name = format!("bell{index}");
        engines.push(Engine::start(
            &deployment.ip,
            &name,
            "bell-app",
            &deployment.store,
            record,
            plan,
        )?);
    }
    let other = start_other(&deployment.ip, record)?;
    deployment.start()?;
    if has_trouble {
        let entry =
            format!("{{\"service\":\"bell-app\",\"address\":\"{other}\",\"state\":\"ready\"}}");
        deployment.store.put("keyed.servers", "x-other", &entry);
        record.write(&format!("another writer puts servers/x-other: {entry}"));
    }
    thread::sleep(Duration::from_secs(4));
    let mut callers: Vec<Caller> = deployment
        .vms
        .iter()
        .map(|vm| Caller::new(vm.front))
        .collect();
    let mut unserved = 0;
    for number in 0..CHANGES {
        let attempt = format!("{:016x}", 0x5bd1_0000 + number);
        let head = request_head("POST", "/change/bell", &attempt, LIMIT_MS);
        record.write(&format!("caller sends bell change {attempt}"));
        let place = number % callers.len();
        let answer =
            callers[place].call(&head, b"bell 7:55", Duration::from_millis(LIMIT_MS + 500));
        let status = answer.as_ref().map_or(0, http::Message::status);
        record.write(&format!(
            "caller gets {status} for {attempt}: {}",
            answer.err().unwrap_or_default()
        ));
        unserved += usize::from(status != 200);
        thread::sleep(Duration::from_millis(100));
    }
    let lines = record.lines();
    let foreign = lines
        .iter()
        .filter(|(_, line)| line.starts_with("another system runs"))
        .count();
    record.write(&format!(
        "{foreign} bell changes ran outside the services of the config; {unserved} were not served"
    ));
    println!(
        "{foreign} bell changes ran outside the services of the config; {unserved} were not served"
    );
    Ok(foreign == 0)
}

/// Starts a server of another system, which carries out whatever it is sent; returns its address.
fn start_other(ip: &str, record: &Record) -> Result<String, String> {
    let listener = TcpListener::bind(format!("{ip}:0")).map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || serve_other(stream, &record));
        }
    });
    Ok(address.to_string())
}

fn serve_other(stream: TcpStream, record: &Record) {
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut request)) = http::read_head(&mut reader) {
        http::read_body(&mut reader, &mut request, false);
        let attempt = request.header("x-waxwingrouter-attempt-id");
        let tenant = request.header("x-waxwingrouter-tenant");
        record.write(&format!(
            "another system runs {attempt} {} of tenant {tenant}",
            request.path()
        ));
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
