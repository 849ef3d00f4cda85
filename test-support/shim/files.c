/* A library that injects faults into the calls of a program on files when it is preloaded, for tests of the state in which a
 * program leaves a folder. It counts the calls that change files below the folder FILES_IN. From call number FILES_AT on, it
 * acts as FILES_DO says:
 *   none          no fault
 *   ENOSPC, EIO   the next FILES_FOR calls fail with this error
 *   kill          the process is killed before the call
 *   half          the process is killed after half of a write, or after a call that is no write
 * At exit the library prints the number of counted calls on standard error. */
#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "real_functions.h"

#define DESCRIPTORS 4096
#define FUNCTIONS(each) each(fsync) each(open64) each(rename) each(symlink) each(unlink) each(write)
REAL_FUNCTIONS(FUNCTIONS)

static const char *folder;
static const char *what = "none";
static unsigned at, fault_calls;
static atomic_uint counted;
static atomic_uchar watched[DESCRIPTORS];

static unsigned number(const char *name, unsigned otherwise) {
    const char *text = getenv(name);
    return text ? (unsigned)strtoul(text, NULL, 10) : otherwise;
}

static void tell(void) {
    fprintf(stderr, "files: %u calls\n", atomic_load(&counted));
}

__attribute__((constructor)) static void begin(void) {
    folder = getenv("FILES_IN");
    what = getenv("FILES_DO") ? getenv("FILES_DO") : "none";
    at = number("FILES_AT", 0);
    fault_calls = number("FILES_FOR", 1);
    atexit(tell);
}

static void die(void) {
    kill(getpid(), SIGKILL);
    pause();
}

static int below(const char *path) {
    return folder && strncmp(path, folder, strlen(folder)) == 0;
}

static int is_watched(int fd) {
    return fd >= 0 && fd < DESCRIPTORS && atomic_load(&watched[fd]);
}

/* What happens to a call. */
enum fate { GOES_ON, FAILS, DIES_AFTER };

static enum fate fate_of_call(void) {
    unsigned n = atomic_fetch_add(&counted, 1) + 1;
    if (at == 0 || n < at)
        return GOES_ON;
    if (n == at && strcmp(what, "kill") == 0)
        die();
    if (n == at && strcmp(what, "half") == 0)
        return DIES_AFTER;
    int error = strcmp(what, "ENOSPC") == 0 ? ENOSPC : strcmp(what, "EIO") == 0 ? EIO : 0;
    if (error == 0 || n >= at + fault_calls)
        return GOES_ON;
    errno = error;
    return FAILS;
}

#define FAULTY(call)                    \
    do {                                \
        enum fate fate = fate_of_call(); \
        if (fate == FAILS)              \
            return -1;                  \
        int result = (call);            \
        if (fate == DIES_AFTER)         \
            die();                      \
        return result;                  \
    } while (0)

static int opened(int fd, int watch) {
    if (fd >= 0 && fd < DESCRIPTORS)
        atomic_store(&watched[fd], (unsigned char)watch);
    return fd;
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = (flags & O_CREAT) ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    int watch = below(path);
    if (!watch || !(flags & O_CREAT))
        return opened(REAL(open64)(path, flags, mode), watch);
    FAULTY(opened(REAL(open64)(path, flags, mode), 1));
}

ssize_t write(int fd, const void *buf, size_t length) {
    if (!is_watched(fd))
        return REAL(write)(fd, buf, length);
    enum fate fate = fate_of_call();
    if (fate == FAILS)
        return -1;
    ssize_t done = REAL(write)(fd, buf, fate == DIES_AFTER ? length / 2 : length);
    if (fate == DIES_AFTER)
        die();
    return done;
}

int fsync(int fd) {
    if (!is_watched(fd))
        return REAL(fsync)(fd);
    FAULTY(REAL(fsync)(fd));
}

int rename(const char *from, const char *to) {
    if (!below(to))
        return REAL(rename)(from, to);
    FAULTY(REAL(rename)(from, to));
}

int symlink(const char *target, const char *link) {
    if (!below(link))
        return REAL(symlink)(target, link);
    FAULTY(REAL(symlink)(target, link));
}

int unlink(const char *path) {
    if (!below(path))
        return REAL(unlink)(path);
    FAULTY(REAL(unlink)(path));
}
