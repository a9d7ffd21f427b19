//! The program that the library is preloaded into: makes the system calls that its argument names and prints the
//! result of each on a line.

use std::env;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of connections that `accept` and `connect` make.
const CONNECTIONS: usize = 12;

fn main() -> io::Result<()> {
    let mut arguments = env::args().skip(1);
    match arguments.next().as_deref() {
        Some("accept") => accept(),
        Some("connect") => connect(),
        Some("transfer") => transfer(),
        Some("files") => files(Path::new(&arguments.next().expect("a folder"))),
        Some("clock") => clock(),
        Some("later") => later(),
        other => {
            panic!("unknown argument {other:?}; expected accept, connect, transfer, files, clock or later")
        }
    }
}

/// Prints the result of a call: `ok`, or the error number.
fn print_result<T>(result: io::Result<T>) {
    match result {
        Ok(_) => println!("ok"),
        Err(error) => println!("{}", error.raw_os_error().unwrap_or(0)),
    }
}

fn accept() -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    for _ in 0..CONNECTIONS {
        let _client = TcpStream::connect(listener.local_addr()?)?;
        let accepted = listener.accept();
        let refused = accepted.is_err();
        print_result(accepted);
        if refused {
            // The connection is still queued, because the failed call did not accept it.
            listener.set_nonblocking(false)?;
            while listener.accept().is_err() {}
            listener.set_nonblocking(true)?;
        }
    }
    Ok(())
}

fn connect() -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    for _ in 0..CONNECTIONS {
        print_result(TcpStream::connect(listener.local_addr()?));
    }
    Ok(())
}

/// Prints the number of bytes of each read, and whether all bytes were received in order.
fn transfer() -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let mut client = TcpStream::connect(listener.local_addr()?)?;
    let (mut server, _) = listener.accept()?;
    let sent: Vec<u8> = (0..200).collect();
    client.write_all(&sent)?;
    drop(client);
    let (mut received, mut buffer) = (Vec::new(), [0; 200]);
    loop {
        match server.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => {
                println!("{length}");
                received.extend_from_slice(&buffer[..length]);
            }
            Err(error) => print_result::<()>(Err(error)),
        }
    }
    println!("{}", if received == sent { "whole" } else { "torn" });
    Ok(())
}

/// Writes a file in each of two subfolders, `in` and `beside`: prints the results of write, sync, rename and unlink.
fn files(folder: &Path) -> io::Result<()> {
    for name in ["in/one", "beside/one"] {
        let path = folder.join(name);
        fs::create_dir_all(path.parent().expect("a folder"))?;
        let opened = OpenOptions::new().write(true).create(true).truncate(true).open(&path);
        let renamed = path.with_extension("renamed");
        match opened {
            Ok(mut file) => {
                print_result(file.write(b"some bytes"));
                print_result(file.sync_data());
                print_result(file.sync_all());
            }
            Err(error) => print_result::<File>(Err(error)),
        }
        print_result(fs::rename(&path, &renamed));
        print_result(fs::remove_file(&renamed));
    }
    Ok(())
}

/// Prints the wall clock's time in milliseconds, the same after 400 ms, and the time that passed on the monotonic
/// clock.
fn clock() -> io::Result<()> {
    let wall = || SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis();
    let started = Instant::now();
    println!("{}", wall());
    thread::sleep(Duration::from_millis(400));
    println!("{}", wall());
    println!("{}", started.elapsed().as_millis());
    Ok(())
}

/// Prints the result of connecting before and after a line is received on standard input.
fn later() -> io::Result<()> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    print_result(TcpStream::connect(listener.local_addr()?));
    let mut line = String::new();
    io::stdin().read_line(&mut line)?;
    print_result(TcpStream::connect(listener.local_addr()?));
    Ok(())
}
