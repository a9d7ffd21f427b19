//! Replacements of reads and writes, which are distinguished by the kind of the descriptor.

use crate::descriptor::{self, Kind};
use crate::real::real;
use crate::session;
use copperroute_fault_injection::Call;
use libc::{c_int, c_void, iovec, msghdr, off_t, off64_t, size_t, sockaddr, socklen_t, ssize_t};

/// Whether a read of this descriptor is to fail; if so, sets `errno`.
fn read_fails(descriptor: c_int) -> bool {
    match descriptor::kind(descriptor) {
        Kind::Socket => session::fails(Call::Recv),
        Kind::File => session::fails_on_file(Call::FileRead, descriptor),
        Kind::Other => session::fails(Call::OtherRead),
    }
}

/// Whether a write to this descriptor is to fail; if so, sets `errno`.
fn write_fails(descriptor: c_int) -> bool {
    match descriptor::kind(descriptor) {
        Kind::Socket => session::fails(Call::Send),
        Kind::File => session::fails_on_file(Call::FileWrite, descriptor),
        Kind::Other => session::fails(Call::OtherWrite),
    }
}

/// The number of bytes that a read or write of `length` bytes may transfer; on sockets the plan can shorten it.
fn allowed_bytes(descriptor: c_int, length: size_t) -> size_t {
    if descriptor::kind(descriptor) == Kind::Socket { session::shortened(length) } else { length }
}

/// The number of buffers that a vectored read or write may use; on sockets the plan can reduce it.
fn allowed_buffers(descriptor: c_int, count: c_int) -> c_int {
    let length = usize::try_from(count).unwrap_or(0);
    c_int::try_from(allowed_bytes(descriptor, length)).unwrap_or(count)
}

macro_rules! replace {
    ($($name:ident($descriptor:ident: c_int $(, $argument:ident: $type:ty)*), $fails:ident
        $(, $length:ident by $allowed:ident)?;)*) => {$(
        /// Replaces libc's function of this name.
        ///
        /// # Safety
        /// The same as for libc's function.
        // SAFETY: it has the name and type of libc's function.
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

replace! {
    read(descriptor: c_int, to: *mut c_void, length: size_t), read_fails, length by allowed_bytes;
    readv(descriptor: c_int, buffers: *const iovec, count: c_int), read_fails, count by allowed_buffers;
    recv(descriptor: c_int, to: *mut c_void, length: size_t, flags: c_int), read_fails, length by allowed_bytes;
    recvfrom(descriptor: c_int, to: *mut c_void, length: size_t, flags: c_int, address: *mut sockaddr,
        address_length: *mut socklen_t), read_fails, length by allowed_bytes;
    recvmsg(descriptor: c_int, message: *mut msghdr, flags: c_int), read_fails;
    pread(descriptor: c_int, to: *mut c_void, length: size_t, at: off_t), read_fails;
    pread64(descriptor: c_int, to: *mut c_void, length: size_t, at: off64_t), read_fails;
    write(descriptor: c_int, from: *const c_void, length: size_t), write_fails, length by allowed_bytes;
    writev(descriptor: c_int, buffers: *const iovec, count: c_int), write_fails, count by allowed_buffers;
    send(descriptor: c_int, from: *const c_void, length: size_t, flags: c_int), write_fails, length by allowed_bytes;
    sendto(descriptor: c_int, from: *const c_void, length: size_t, flags: c_int, address: *const sockaddr,
        address_length: socklen_t), write_fails, length by allowed_bytes;
    sendmsg(descriptor: c_int, message: *const msghdr, flags: c_int), write_fails;
    pwrite(descriptor: c_int, from: *const c_void, length: size_t, at: off_t), write_fails;
    pwrite64(descriptor: c_int, from: *const c_void, length: size_t, at: off64_t), write_fails;
}
