/* A library that injects faults into the calls of a program on IPv4 sockets when it is preloaded: calls fail transiently or
 * transfer only a part of their bytes, as the documentation of Linux allows. Environment variables:
 *   FAULT_SEED        seed of all random choices
 *   FAULT_FAILURES    calls per thousand that fail
 *   FAULT_SHORT       reads and writes per thousand that transfer only a part of their bytes
 *   FAULT_SHORT_MOST  maximum number of bytes of a partial transfer
 *   FAULT_FIRST       number of sockets that cannot be opened at first
 *   FAULT_HOLDS       writes per thousand, on connections that the program opened, before which the program is paused for 0.15 s
 *   FAULT_STEP_S, FAULT_STEP_AT_MS  step of the wall clock in seconds, and its time in ms after the start
 * Connections that the program opened may also break. Connections that it accepted never do, because their other end would not
 * notice.
 * The library logs each pause on standard error, in nanoseconds of the monotonic clock, and at exit the numbers of failed
 * calls, partial transfers and pauses. */
#define _GNU_SOURCE
#include <errno.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/epoll.h>
#include <sys/uio.h>
#include <time.h>

#include "real_functions.h"

#define DESCRIPTORS 65536
#define FUNCTIONS(each) \
    each(accept4) each(clock_gettime) each(connect) each(epoll_wait) each(recv) each(send) each(socket) each(writev)
REAL_FUNCTIONS(FUNCTIONS)

static uint64_t state;
static unsigned failures, shorts, shorts_most, holds;
static long long step_s, step_at_ms;
static struct timespec started;
static atomic_int first;
static atomic_uint failed, shortened, held;
/* Whether connect() was called on a descriptor. */
static atomic_uchar opened[DESCRIPTORS];

static unsigned number(const char *name) {
    const char *text = getenv(name);
    return text ? (unsigned)strtoul(text, NULL, 10) : 0;
}

static void tell(void) {
    fprintf(stderr, "faults: %u calls failed, %u cut short, %u held up\n", atomic_load(&failed), atomic_load(&shortened),
            atomic_load(&held));
}

__attribute__((constructor)) static void begin(void) {
    state = (uint64_t)number("FAULT_SEED") * 2685821657736338717ULL + 88172645463325252ULL;
    failures = number("FAULT_FAILURES");
    shorts = number("FAULT_SHORT");
    shorts_most = number("FAULT_SHORT_MOST") ? number("FAULT_SHORT_MOST") : 64;
    holds = number("FAULT_HOLDS");
    step_s = getenv("FAULT_STEP_S") ? atoll(getenv("FAULT_STEP_S")) : 0;
    step_at_ms = number("FAULT_STEP_AT_MS");
    REAL(clock_gettime)(CLOCK_MONOTONIC, &started);
    atomic_store(&first, (int)number("FAULT_FIRST"));
    atexit(tell);
}

static uint64_t draw(void) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state >> 11;
}

/* Whether a socket option has the value `wanted`. */
static int has(int fd, int option, int wanted) {
    int value = 0;
    socklen_t length = sizeof value;
    int saved = errno;
    int got = getsockopt(fd, SOL_SOCKET, option, &value, &length);
    errno = saved;
    return got == 0 && value == wanted;
}

static int is_inet(int fd) {
    return has(fd, SO_DOMAIN, AF_INET);
}

static int is_stream(int fd) {
    return has(fd, SO_TYPE, SOCK_STREAM);
}

/* Sets errno to one of `errors` and returns 1 if this call is to fail, otherwise returns 0. */
static int fails(const int *errors, size_t count) {
    if (draw() % 1000 >= failures)
        return 0;
    errno = errors[draw() % count];
    atomic_fetch_add(&failed, 1);
    return 1;
}
#define FAILS(...) fails((const int[]){__VA_ARGS__}, sizeof((const int[]){__VA_ARGS__}) / sizeof(int))

/* Returns the number of bytes that a call with `length` bytes may transfer. */
static size_t part(size_t length) {
    if (length < 2 || draw() % 1000 >= shorts)
        return length;
    atomic_fetch_add(&shortened, 1);
    return 1 + draw() % (length - 1 < shorts_most ? length - 1 : shorts_most);
}

static int opened_here(int fd) {
    return fd >= 0 && fd < DESCRIPTORS && atomic_load(&opened[fd]);
}

static int read_fails(int fd) {
    if (opened_here(fd) && draw() % 8 == 0)
        return FAILS(ECONNRESET, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH);
    return FAILS(EINTR, EINTR, ENOMEM, ENOBUFS);
}

static int write_fails(int fd) {
    if (opened_here(fd) && draw() % 8 == 0)
        return FAILS(ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH);
    return FAILS(EINTR, EINTR, ENOMEM, ENOBUFS);
}

static long long monotonic_ns(void) {
    struct timespec now;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static long long ms_since_start(void) {
    struct timespec now;
    REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - started.tv_sec) * 1000LL + (now.tv_nsec - started.tv_nsec) / 1000000;
}

/* Pauses the program between its last reading of the clock and a write. Pauses come at most once a second, because two in a
 * row would act as one longer pause. */
static void hold(int fd) {
    static atomic_llong again_at;
    if (!opened_here(fd) || draw() % 1000 >= holds || ms_since_start() < atomic_load(&again_at))
        return;
    struct timespec time = {0, 150 * 1000 * 1000};
    atomic_fetch_add(&held, 1);
    long long from = monotonic_ns();
    nanosleep(&time, NULL);
    fprintf(stderr, "faults: held up from %lld to %lld\n", from, monotonic_ns());
    atomic_store(&again_at, ms_since_start() + 1000);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (clock != CLOCK_REALTIME || result != 0 || step_s == 0)
        return result;
    if (ms_since_start() >= step_at_ms)
        time->tv_sec += step_s;
    return 0;
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (FAILS(EINTR))
        return -1;
    return REAL(epoll_wait)(fd, events, most, timeout);
}

ssize_t recv(int fd, void *buf, size_t length, int flags) {
    if (is_inet(fd) && is_stream(fd)) {
        if (read_fails(fd))
            return -1;
        length = part(length);
    }
    return REAL(recv)(fd, buf, length, flags);
}

ssize_t send(int fd, const void *buf, size_t length, int flags) {
    if (is_inet(fd) && is_stream(fd)) {
        hold(fd);
        if (write_fails(fd))
            return -1;
        length = part(length);
    }
    return REAL(send)(fd, buf, length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    if (count > 0 && is_inet(fd) && is_stream(fd)) {
        hold(fd);
        if (write_fails(fd))
            return -1;
        size_t length = part(parts[0].iov_len);
        if (length < parts[0].iov_len) {
            struct iovec first = {parts[0].iov_base, length};
            return REAL(writev)(fd, &first, 1);
        }
    }
    return REAL(writev)(fd, parts, count);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    if (fd >= 0 && fd < DESCRIPTORS && is_inet(fd)) {
        atomic_store(&opened[fd], 1);
        if (FAILS(EINTR, ENOBUFS, ENOMEM, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED))
            return -1;
    }
    return REAL(connect)(fd, to, length);
}

int accept4(int fd, struct sockaddr *from, socklen_t *length, int flags) {
    if (is_inet(fd) && FAILS(ECONNABORTED, EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO))
        return -1;
    int accepted = REAL(accept4)(fd, from, length, flags);
    if (accepted >= 0 && accepted < DESCRIPTORS)
        atomic_store(&opened[accepted], 0);
    return accepted;
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && atomic_fetch_sub(&first, 1) > 0) {
        atomic_fetch_add(&failed, 1);
        errno = EMFILE;
        return -1;
    }
    if (domain == AF_INET && (type & SOCK_STREAM) && FAILS(EMFILE, ENFILE, ENOBUFS, ENOMEM))
        return -1;
    return REAL(socket)(domain, type, protocol);
}
