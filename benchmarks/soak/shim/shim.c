/* Makes system calls of one process fail now and then, as their manual pages say, and puts its wall clock off.
 * Loaded by LD_PRELOAD; its options stand in DRIFTSTAIR_SHIM (see __init__.py). Nothing outside the process is
 * touched. Only TCP sockets that the process makes or accepts, and regular files, are concerned. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define FDS 65536
#define COUNT(list) (sizeof(list) / sizeof((list)[0]))

enum kind { OTHER = 0, FROM_CLIENT, TO_SERVER };

static unsigned char kinds[FDS];
static uint64_t state = 1;
static double after = 2, calls, disk, clock_off, clock_step, step_after = 4;
static int awaits_listen; /* until the first listen(): no call fails before it */
static struct timespec began;

static int (*real_clock_gettime)(clockid_t, struct timespec *);

static void *next(const char *name)
{
    return dlsym(RTLD_NEXT, name);
}

static double option(const char *text, const char *name, double otherwise)
{
    char wanted[64];
    snprintf(wanted, sizeof wanted, "%s=", name);
    for (const char *at = text; at != NULL; at = strchr(at, ';')) {
        if (*at == ';')
            at++;
        if (strncmp(at, wanted, strlen(wanted)) == 0)
            return atof(at + strlen(wanted));
    }
    return otherwise;
}

__attribute__((constructor)) static void begin(void)
{
    const char *text = getenv("DRIFTSTAIR_SHIM");
    real_clock_gettime = next("clock_gettime");
    real_clock_gettime(CLOCK_MONOTONIC, &began);
    if (text == NULL)
        return;
    state = (uint64_t)option(text, "seed", 1) * 2654435761u + 88172645463325252u;
    after = option(text, "after", after);
    calls = option(text, "calls", 0);
    awaits_listen = option(text, "await_listen", 0) > 0;
    disk = option(text, "disk", 0);
    clock_off = option(text, "clock_off", 0);
    clock_step = option(text, "clock_step", 0);
    step_after = option(text, "step_after", step_after);
}

static double age(void)
{
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - began.tv_sec) + (now.tv_nsec - began.tv_nsec) / 1e9;
}

static uint64_t draw(void)
{
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int befalls(double share)
{
    return share > 0 && (draw() >> 11) / 9007199254740992.0 < share && age() >= after && !awaits_listen;
}

static int fail(const int *errors, size_t count)
{
    errno = errors[draw() % count];
    return -1;
}

static int is_tcp(int fd)
{
    struct stat found;
    return fd >= 0 && fd < FDS && kinds[fd] != OTHER && fstat(fd, &found) == 0 && S_ISSOCK(found.st_mode);
}

static int is_file(int fd)
{
    struct stat found;
    return fd > 2 && fstat(fd, &found) == 0 && S_ISREG(found.st_mode);
}

static void note(int fd, enum kind kind)
{
    if (fd >= 0 && fd < FDS)
        kinds[fd] = kind;
}

/* Sockets. */

int socket(int domain, int type, int protocol)
{
    static int (*real)(int, int, int);
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    if (real == NULL)
        real = next("socket");
    int tcp = (domain == AF_INET || domain == AF_INET6) && (type & 0xf) == SOCK_STREAM;
    if (tcp && befalls(calls))
        return fail(errors, COUNT(errors));
    int fd = real(domain, type, protocol);
    note(fd, tcp ? TO_SERVER : OTHER);
    return fd;
}

int listen(int fd, int backlog)
{
    static int (*real)(int, int);
    if (real == NULL)
        real = next("listen");
    awaits_listen = 0;
    return real(fd, backlog);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    static int (*real)(int, const struct sockaddr *, socklen_t);
    static const int errors[] = {EADDRNOTAVAIL, EAGAIN, ENETUNREACH, EHOSTUNREACH, ECONNREFUSED};
    if (real == NULL)
        real = next("connect");
    if (is_tcp(fd) && befalls(calls))
        return fail(errors, COUNT(errors));
    return real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    static const int errors[] = {EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EAGAIN};
    if (real == NULL)
        real = next("accept4");
    if (befalls(calls))
        return fail(errors, COUNT(errors));
    int accepted = real(fd, address, size, flags);
    note(accepted, FROM_CLIENT);
    return accepted;
}

static size_t shorter(size_t size)
{
    return size > 1 ? 1 + draw() % (size - 1) : size;
}

/* What befalls a read or a write of a socket, before it is made: 0: nothing; -1: it fails, errno is set; else the
 * length that it is cut to. Only a connection to a server is found dead: a client's is its own. */
static ssize_t before_io(int fd, size_t size)
{
    static const int dead[] = {ETIMEDOUT, EHOSTUNREACH};
    if (size == 0 || fd < 0 || fd >= FDS || kinds[fd] == OTHER || !befalls(calls) || !is_tcp(fd))
        return 0;
    switch (draw() % 8) {
    case 0:
        return kinds[fd] == TO_SERVER ? fail(dead, COUNT(dead)) : (ssize_t)shorter(size);
    case 1:
    case 2:
        errno = EINTR;
        return -1;
    default:
        return shorter(size);
    }
}

ssize_t read(int fd, void *data, size_t size)
{
    static ssize_t (*real)(int, void *, size_t);
    if (real == NULL)
        real = next("read");
    ssize_t found = before_io(fd, size);
    return found < 0 ? -1 : real(fd, data, found ? (size_t)found : size);
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    static ssize_t (*real)(int, void *, size_t, int);
    if (real == NULL)
        real = next("recv");
    ssize_t found = before_io(fd, size);
    return found < 0 ? -1 : real(fd, data, found ? (size_t)found : size, flags);
}

/* Files: what befalls a write. */
static ssize_t before_disk(int fd, size_t size)
{
    static const int errors[] = {ENOSPC, EIO};
    if (disk <= 0 || !is_file(fd) || !befalls(disk))
        return 0;
    if (draw() % 2 == 0)
        return fail(errors, COUNT(errors));
    return shorter(size);
}

ssize_t write(int fd, const void *data, size_t size)
{
    static ssize_t (*real)(int, const void *, size_t);
    if (real == NULL)
        real = next("write");
    ssize_t found = before_io(fd, size);
    if (found == 0)
        found = before_disk(fd, size);
    return found < 0 ? -1 : real(fd, data, found ? (size_t)found : size);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    static ssize_t (*real)(int, const struct iovec *, int);
    if (real == NULL)
        real = next("writev");
    size_t size = 0;
    for (int index = 0; index < count; index++)
        size += parts[index].iov_len;
    ssize_t found = before_io(fd, size);
    if (found < 0)
        return -1;
    if (found > 0) /* short: the first part alone */
        return real(fd, parts, 1);
    return real(fd, parts, count);
}

int fsync(int fd)
{
    static int (*real)(int);
    static const int errors[] = {ENOSPC, EIO};
    if (real == NULL)
        real = next("fsync");
    return disk > 0 && is_file(fd) && befalls(disk) ? fail(errors, COUNT(errors)) : real(fd);
}

int fdatasync(int fd)
{
    static int (*real)(int);
    static const int errors[] = {ENOSPC, EIO};
    if (real == NULL)
        real = next("fdatasync");
    return disk > 0 && is_file(fd) && befalls(disk) ? fail(errors, COUNT(errors)) : real(fd);
}

int close(int fd)
{
    static int (*real)(int);
    if (real == NULL)
        real = next("close");
    note(fd, OTHER);
    return real(fd);
}

/* The wall clock. */

static double off(void)
{
    return clock_off + (clock_step != 0 && age() >= step_after ? clock_step : 0);
}

int clock_gettime(clockid_t which, struct timespec *found)
{
    if (real_clock_gettime == NULL)
        real_clock_gettime = next("clock_gettime");
    int done = real_clock_gettime(which, found);
    if (done == 0 && which == CLOCK_REALTIME && (clock_off != 0 || clock_step != 0))
        found->tv_sec += (time_t)off();
    return done;
}

int gettimeofday(struct timeval *restrict found, void *restrict zone)
{
    static int (*real)(struct timeval *, void *);
    if (real == NULL)
        real = next("gettimeofday");
    int done = real(found, zone);
    if (done == 0)
        found->tv_sec += (time_t)off();
    return done;
}
