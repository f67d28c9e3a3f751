/*
 * System-call faults for one process, preloaded by the soak test (rig/soak/faults.py).
 *
 * Each wrapped call fails with a documented Linux error for a configured part of its invocations, or transfers fewer
 * bytes than requested.  The failure rates are read from a file (GATEUSHER_FAULTS) that the test maps and changes
 * while the process runs; the random draws start from a fixed seed.  A failing call has no effect: no connection is
 * removed from the accept queue, and no byte is transferred.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The layout of the mapped file: one 32-bit integer per slot, in the order of `SystemCall` in faults.py. */
enum { ACCEPT, CONNECT, SOCKET, READ, WRITE, SHORT, OPEN, SYNC, WALL_CLOCK_S, SEED, SLOT_COUNT };

static volatile int32_t *slots;
static uint64_t random_state;
static pthread_mutex_t random_lock = PTHREAD_MUTEX_INITIALIZER;

__attribute__((constructor)) static void map_slots(void) {
    const char *path = getenv("GATEUSHER_FAULTS");
    int (*real_open)(const char *, int, ...) = dlsym(RTLD_NEXT, "open");
    int fd = path ? real_open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *page = mmap(NULL, SLOT_COUNT * sizeof(int32_t), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    if (page == MAP_FAILED)
        return;
    slots = page;
    random_state = 0x9e3779b97f4a7c15ULL ^ (uint64_t)(uint32_t)slots[SEED];
}

static uint32_t next_random(void) {
    pthread_mutex_lock(&random_lock);
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    uint32_t value = (uint32_t)(random_state >> 32);
    pthread_mutex_unlock(&random_lock);
    return value;
}

/* Returns whether this invocation fails; the slot holds a rate per mille. */
static int should_fail(int call) {
    return slots && slots[call] > 0 && next_random() % 1000 < (uint32_t)slots[call];
}

static int fail_with_any_of(const int *errors, size_t count) {
    errno = errors[next_random() % count];
    return -1;
}
#define FAIL(...) fail_with_any_of((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))
#define REAL(name) __typeof__(name) *real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

static int is_tcp(int fd) {
    int type = 0;
    socklen_t size = sizeof type;
    struct sockaddr_storage name;
    socklen_t length = sizeof name;
    if (getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) || type != SOCK_STREAM)
        return 0;
    return !getsockname(fd, (struct sockaddr *)&name, &length) && name.ss_family != AF_UNIX;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (should_fail(ACCEPT))
        return FAIL(ENFILE, ENOBUFS, ENOMEM, EPROTO, ECONNABORTED, EINTR, EMFILE, ENETDOWN, EHOSTUNREACH, EPERM);
    return real(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    if (should_fail(ACCEPT))
        return FAIL(ENFILE, ENOBUFS, ENOMEM, EPROTO, ECONNABORTED, EINTR, EMFILE, ENETDOWN, EHOSTUNREACH, EPERM);
    return real(fd, address, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (address->sa_family != AF_UNIX && should_fail(CONNECT))
        return FAIL(EADDRNOTAVAIL, EAGAIN, ENOBUFS, ENOMEM);
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain != AF_UNIX && should_fail(SOCKET))
        return FAIL(EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return real(domain, type, protocol);
}

ssize_t read(int fd, void *buffer, size_t count) {
    REAL(read);
    if (slots && (slots[READ] > 0 || slots[SHORT] > 0) && is_tcp(fd)) {
        if (should_fail(READ))
            return FAIL(EINTR, EAGAIN);
        if (count > 1 && should_fail(SHORT))
            count = 1 + next_random() % 64 % count;
    }
    return real(fd, buffer, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
    REAL(write);
    if (slots && (slots[WRITE] > 0 || slots[SHORT] > 0) && is_tcp(fd)) {
        if (should_fail(WRITE))
            return FAIL(EINTR, EAGAIN);
        if (count > 1 && should_fail(SHORT))
            count = 1 + next_random() % 64 % count;
    }
    return real(fd, buffer, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (slots && (slots[WRITE] > 0 || slots[SHORT] > 0) && is_tcp(fd)) {
        if (should_fail(WRITE))
            return FAIL(EINTR, EAGAIN);
        if (should_fail(SHORT))
            return write(fd, parts[0].iov_base, parts[0].iov_len ? 1 + next_random() % parts[0].iov_len : 0);
    }
    return real(fd, parts, count);
}

/* Only opening a configuration file fails: the daemon need not survive a failure to load the interpreter's files. */
static int should_fail_open(const char *path, int flags) {
    size_t length = strlen(path);
    int configuration = length > 5 && !strcmp(path + length - 5, ".json");
    return configuration && (flags & O_ACCMODE) == O_RDONLY && should_fail(OPEN);
}

int open(const char *path, int flags, ...) {
    REAL(open);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    if (should_fail_open(path, flags))
        return FAIL(ENFILE, EMFILE, EINTR, EIO, ENOMEM);
    return real(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    if (should_fail_open(path, flags))
        return FAIL(ENFILE, EMFILE, EINTR, EIO, ENOMEM);
    return real(path, flags, mode);
}

int fsync(int fd) {
    REAL(fsync);
    return should_fail(SYNC) ? FAIL(EIO, ENOSPC) : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return should_fail(SYNC) ? FAIL(EIO, ENOSPC) : real(fd);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(clock_gettime);
    int status = real(clock, now);
    if (slots && !status && clock == CLOCK_REALTIME)
        now->tv_sec += slots[WALL_CLOCK_S];
    return status;
}
