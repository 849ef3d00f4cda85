/* A program to run with a preloaded library: a signal handler interrupts functions that the library defines, and calls one. The
 * program ends once the handler has run often enough. */
#define _GNU_SOURCE
#include <errno.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>

#define SIGNALS 5000
#define INTERVAL_US 50

static int ends[2];
static volatile sig_atomic_t handled;

static void handle(int number) {
    int saved = errno;
    (void)number;
    (void)send(ends[0], "x", 1, MSG_DONTWAIT | MSG_NOSIGNAL);
    errno = saved;
    handled++;
}

int main(void) {
    struct sigaction action = {.sa_handler = handle, .sa_flags = SA_RESTART};
    struct itimerval interval = {{0, INTERVAL_US}, {0, INTERVAL_US}};
    if (socketpair(AF_UNIX, SOCK_STREAM, 0, ends) != 0 || sigaction(SIGALRM, &action, NULL) != 0 ||
        setitimer(ITIMER_REAL, &interval, NULL) != 0)
        return 1;
    while (handled < SIGNALS) {
        char received[64];
        struct timespec now;
        clock_gettime(CLOCK_REALTIME, &now);
        (void)recv(ends[1], received, sizeof received, MSG_DONTWAIT);
    }
    return 0;
}
