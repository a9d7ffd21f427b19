//! Reads and writes, told apart by what the descriptor is of.

use crate::descriptor::{self, Kind};
use crate::real::real;
use crate::session;
use copperroute_fault_injection::Call;
use libc::{c_int, c_void, iovec, msghdr, off_t, off64_t, size_t, sockaddr, socklen_t, ssize_t};

/// Whether a read of this descriptor fails.
fn read_fails(descriptor: c_int) -> bool {
    match descriptor::kind(descriptor) {
        Kind::Socket => session::fails(Call::Recv),
        Kind::File => session::fails_on_file(Call::FileRead, descriptor),
        Kind::Other => session::fails(Call::OtherRead),
    }
}

/// Whether a write to this descriptor fails.
fn write_fails(descriptor: c_int) -> bool {
    match descriptor::kind(descriptor) {
        Kind::Socket => session::fails(Call::Send),
        Kind::File => session::fails_on_file(Call::FileWrite, descriptor),
        Kind::Other => session::fails(Call::OtherWrite),
    }
}

/// How many of these bytes a read or write may carry: fewer at times on sockets.
fn allowed(descriptor: c_int, length: size_t) -> size_t {
    if descriptor::kind(descriptor) == Kind::Socket { session::shortened(length) } else { length }
}

/// How many of these pieces a read or write may carry: one of many at times on sockets.
fn allowed_pieces(descriptor: c_int, count: c_int) -> c_int {
    let length = usize::try_from(count).unwrap_or(0);
    c_int::try_from(allowed(descriptor, length)).unwrap_or(count)
}

macro_rules! take_place {
    ($($name:ident($descriptor:ident: c_int $(, $argument:ident: $type:ty)*), $fails:ident
        $(, $length:ident by $allowed:ident)?;)*) => {$(
        /// Takes the place of libc's.
        ///
        /// # Safety
        /// As libc's.
        // SAFETY: of the name and type of libc's.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($descriptor: c_int $(, $argument: $type)*) -> ssize_t {
            if $fails($descriptor) {
                return -1;
            }
            $(let $length = $allowed($descriptor, $length);)?
            real!($name($descriptor $(, $argument)*): fn(c_int $(, $type)*) -> ssize_t)
        }
    )*};
}

take_place! {
    read(descriptor: c_int, to: *mut c_void, length: size_t), read_fails, length by allowed;
    readv(descriptor: c_int, pieces: *const iovec, count: c_int), read_fails, count by allowed_pieces;
    recv(descriptor: c_int, to: *mut c_void, length: size_t, flags: c_int), read_fails, length by allowed;
    recvfrom(descriptor: c_int, to: *mut c_void, length: size_t, flags: c_int, address: *mut sockaddr,
        address_length: *mut socklen_t), read_fails, length by allowed;
    recvmsg(descriptor: c_int, message: *mut msghdr, flags: c_int), read_fails;
    pread(descriptor: c_int, to: *mut c_void, length: size_t, at: off_t), read_fails;
    pread64(descriptor: c_int, to: *mut c_void, length: size_t, at: off64_t), read_fails;
    write(descriptor: c_int, from: *const c_void, length: size_t), write_fails, length by allowed;
    writev(descriptor: c_int, pieces: *const iovec, count: c_int), write_fails, count by allowed_pieces;
    send(descriptor: c_int, from: *const c_void, length: size_t, flags: c_int), write_fails, length by allowed;
    sendto(descriptor: c_int, from: *const c_void, length: size_t, flags: c_int, address: *const sockaddr,
        address_length: socklen_t), write_fails, length by allowed;
    sendmsg(descriptor: c_int, message: *const msghdr, flags: c_int), write_fails;
    pwrite(descriptor: c_int, from: *const c_void, length: size_t, at: off_t), write_fails;
    pwrite64(descriptor: c_int, from: *const c_void, length: size_t, at: off64_t), write_fails;
}
