//! A proxy whose open channels can go silent, without a reset, while new ones work.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Proxy {
    pub address: SocketAddr,
    /// Whether each open channel has gone silent.
    channels: Mutex<Vec<Arc<AtomicBool>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().expect("bound"),
            channels: Mutex::default(),
        });
        let serving = proxy.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = (caller.set_nodelay(true), server.set_nodelay(true));
                let silent = Arc::new(AtomicBool::new(false));
                serving.channels.lock().unwrap().push(silent.clone());
                forward(&caller, &server, &silent);
                forward(&server, &caller, &silent);
            }
        });
        proxy
    }

    /// Makes all open channels silent for good; returns how many there were.
    pub fn silence(&self) -> usize {
        let mut channels = self.channels.lock().unwrap();
        for silent in channels.iter() {
            silent.store(true, SeqCst);
        }
        let count = channels.len();
        channels.clear();
        count
    }
}

fn forward(from: &TcpStream, to: &TcpStream, silent: &Arc<AtomicBool>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else { return };
    let silent = silent.clone();
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if silent.load(SeqCst) {
                // Nothing passes any more, no end either.
                thread::sleep(Duration::from_secs(120));
                return;
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
    });
}
