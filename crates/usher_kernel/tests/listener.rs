//! Listeners of processes that are restarted.

use std::{io, time};

/// Guards against a daemon that ends at its restart because its address is still held for a moment.
#[tokio::test]
async fn address_that_is_released_is_taken() {
    let address = usher_ports::reserve_address();
    let holder = std::net::TcpListener::bind(address).unwrap();
    let release = async {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        drop(holder);
    };
    let (listener, ()) = tokio::join!(usher_kernel::open_listener(address), release);
    assert_eq!(listener.unwrap().local_addr().unwrap(), address);
}

/// Guards against a daemon that waits for an address that another program keeps.
#[tokio::test]
async fn address_that_stays_in_use_is_an_error() {
    let holder = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = holder.local_addr().unwrap();
    let opened = usher_kernel::open_listener(address);
    let opened = tokio::time::timeout(time::Duration::from_secs(20), opened).await;
    let error = opened.unwrap().unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::AddrInUse);
}
