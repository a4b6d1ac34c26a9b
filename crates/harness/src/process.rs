//! Child processes of a test.

use std::fs;
use std::fs::File;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::binary;
use crate::condition;
use crate::run::Run;

/// Lines of output that are printed for each process when a test fails.
const TAIL_LINES: usize = 60;

/// Length to which the kernel shortens the name of a process.
const COMM_BYTES_MAX: usize = 15;

/// A child process of a test; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    program: &'static str,
    arguments: Vec<String>,
    output: PathBuf,
    child: Child,
    // Keeps the folder of the output file alive.
    _run: Run,
}

impl Process {
    /// Starts a program of this workspace.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn start(run: &Run, name: &str, program: &'static str, arguments: Vec<String>) -> Self {
        let output = run.folder().join(format!("{name}.out"));
        let child = spawn(program, &arguments, &output);
        Self {
            name: name.to_owned(),
            program,
            arguments,
            output,
            child,
            _run: run.clone(),
        }
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Replaces the arguments of the next start.
    pub(crate) fn set_arguments(&mut self, arguments: Vec<String>) {
        self.arguments = arguments;
    }

    /// Kills the process and starts the program again.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be started.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(self.program, &self.arguments, &self.output);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Requests a reload of the settings with SIGHUP.
    ///
    /// # Panics
    ///
    /// Panics if the process has ended.
    pub fn reload(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Panics
    ///
    /// Panics if the status of the process cannot be read.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a child can be waited for")
    }

    /// Waits for the end of the process.
    ///
    /// # Panics
    ///
    /// Panics if the process does not end.
    pub fn wait(&mut self) -> ExitStatus {
        let what = format!("{} ends", self.name);
        condition::wait_for(&what, || self.exit_status())
    }

    /// Returns what the process has written since its first start.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process ids are positive");
        signal::kill(Pid::from_raw(id), signal).expect("the process has not ended");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
        if !thread::panicking() {
            return;
        }
        let output = self.output();
        let lines: Vec<&str> = output.lines().collect();
        let tail = &lines[lines.len().saturating_sub(TAIL_LINES)..];
        println!("--- last output of {}:\n{}", self.name, tail.join("\n"));
    }
}

fn spawn(program: &str, arguments: &[String], output: &PathBuf) -> Child {
    let file = File::options().create(true).append(true).open(output);
    let file = file.expect("the output file can be opened");
    let errors = file.try_clone().expect("a file can be cloned");
    let child = Command::new(binary::choose_binary(program))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(file)
        .stderr(errors)
        .spawn()
        .expect("the program can be started");
    let what = format!("{program} is executed");
    condition::wait_until(&what, || is_executed(&child, program));
    child
}

/// Returns whether a child executes its program.
///
/// `spawn` may return while the child still has the memory and the descriptors of the test; the kernel renames the child
/// after it has replaced both.
fn is_executed(child: &Child, program: &str) -> bool {
    let name = fs::read_to_string(format!("/proc/{}/comm", child.id())).unwrap_or_default();
    let name_bytes = program.len().min(COMM_BYTES_MAX);
    name.trim_end() == &program[..name_bytes]
}
