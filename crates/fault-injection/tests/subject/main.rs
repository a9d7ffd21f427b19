//! Uses the system in a few ways and prints how each call ended, a line each.

use std::env;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Connections made, bytes sent, files written.
const TIMES: usize = 12;

fn main() -> io::Result<()> {
    let mut arguments = env::args().skip(1);
    match arguments.next().as_deref() {
        Some("accept") => accept(),
        Some("connect") => connect(),
        Some("transfer") => transfer(),
        Some("files") => files(Path::new(&arguments.next().expect("a folder"))),
        Some("clock") => clock(),
        Some("later") => later(),
        other => panic!("{other:?}: nothing to do"),
    }
}

/// Prints how a call ended: `ok`, or the error's number.
fn say<T>(result: io::Result<T>) {
    match result {
        Ok(_) => println!("ok"),
        Err(fault) => println!("{}", fault.raw_os_error().unwrap_or(0)),
    }
}

fn accept() -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    for _ in 0..TIMES {
        let _client = TcpStream::connect(listener.local_addr()?)?;
        let accepted = listener.accept();
        let refused = accepted.is_err();
        say(accepted);
        if refused {
            // Still there: it was never taken.
            listener.set_nonblocking(false)?;
            while listener.accept().is_err() {}
            listener.set_nonblocking(true)?;
        }
    }
    Ok(())
}

fn connect() -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    for _ in 0..TIMES {
        say(TcpStream::connect(listener.local_addr()?));
    }
    Ok(())
}

/// Prints how many bytes each read carried, and whether they came in order.
fn transfer() -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let mut client = TcpStream::connect(listener.local_addr()?)?;
    let (mut server, _) = listener.accept()?;
    let sent: Vec<u8> = (0..200).collect();
    client.write_all(&sent)?;
    drop(client);
    let (mut received, mut room) = (Vec::new(), [0; 200]);
    loop {
        match server.read(&mut room) {
            Ok(0) => break,
            Ok(length) => {
                println!("{length}");
                received.extend_from_slice(&room[..length]);
            }
            Err(fault) => say::<()>(Err(fault)),
        }
    }
    println!("{}", if received == sent { "whole" } else { "torn" });
    Ok(())
}

/// Writes files in this folder and beside it: prints how write, sync, rename and unlink ended in each.
fn files(folder: &Path) -> io::Result<()> {
    for name in ["in/one", "beside/one"] {
        let path = folder.join(name);
        fs::create_dir_all(path.parent().expect("a folder"))?;
        let opened = OpenOptions::new().write(true).create(true).truncate(true).open(&path);
        let renamed = path.with_extension("renamed");
        match opened {
            Ok(mut file) => {
                say(file.write(b"some bytes"));
                say(file.sync_data());
                say(file.sync_all());
            }
            Err(fault) => say::<File>(Err(fault)),
        }
        say(fs::rename(&path, &renamed));
        say(fs::remove_file(&renamed));
    }
    Ok(())
}

/// Prints the wall clock's time in milliseconds, and after a while again with the monotonic clock's span.
fn clock() -> io::Result<()> {
    let wall = || SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
    let begun = Instant::now();
    println!("{}", wall());
    thread::sleep(Duration::from_millis(400));
    println!("{}", wall());
    println!("{}", begun.elapsed().as_millis());
    Ok(())
}

/// Prints how connecting ends before and after a line comes in.
fn later() -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    say(TcpStream::connect(listener.local_addr()?));
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    say(TcpStream::connect(listener.local_addr()?));
    Ok(())
}
