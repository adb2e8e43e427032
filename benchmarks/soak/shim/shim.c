/* Makes a share of the system calls of one process fail, with the errors that their manual pages list, and
 * makes its wall clock wrong. Loaded by LD_PRELOAD; its options stand in DRIFTSTAIR_SHIM (see __init__.py).
 * Nothing outside the process is changed. Only calls on TCP sockets that the process creates or accepts, and
 * on regular files, are made to fail. */

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

#define MAX_FDS 65536
#define LENGTH(list) (sizeof(list) / sizeof((list)[0]))

enum fd_kind { OTHER = 0, FROM_CLIENT, TO_SERVER };

static unsigned char fd_kinds[MAX_FDS];
static uint64_t random_state = 1;
static double fail_after_s = 2, call_share, disk_share, clock_offset_s, clock_step_s, step_after_s = 4;
static int awaits_listen; /* true until the first listen(); no call fails before it */
static struct timespec start_time;

static int (*real_clock_gettime)(clockid_t, struct timespec *);

static void *next_symbol(const char *name)
{
    return dlsym(RTLD_NEXT, name);
}

static double read_option(const char *text, const char *name, double default_value)
{
    char prefix[64];
    snprintf(prefix, sizeof prefix, "%s=", name);
    for (const char *entry = text; entry != NULL; entry = strchr(entry, ';')) {
        if (*entry == ';')
            entry++;
        if (strncmp(entry, prefix, strlen(prefix)) == 0)
            return atof(entry + strlen(prefix));
    }
    return default_value;
}

__attribute__((constructor)) static void initialize(void)
{
    const char *text = getenv("DRIFTSTAIR_SHIM");
    real_clock_gettime = next_symbol("clock_gettime");
    real_clock_gettime(CLOCK_MONOTONIC, &start_time);
    if (text == NULL)
        return;
    random_state = (uint64_t)read_option(text, "seed", 1) * 2654435761u + 88172645463325252u;
    fail_after_s = read_option(text, "after", fail_after_s);
    call_share = read_option(text, "calls", 0);
    awaits_listen = read_option(text, "await_listen", 0) > 0;
    disk_share = read_option(text, "disk", 0);
    clock_offset_s = read_option(text, "clock_off", 0);
    clock_step_s = read_option(text, "clock_step", 0);
    step_after_s = read_option(text, "step_after", step_after_s);
}

static double age_s(void)
{
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - start_time.tv_sec) + (now.tv_nsec - start_time.tv_nsec) / 1e9;
}

static uint64_t next_random(void)
{
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

static int should_fail(double share)
{
    return share > 0 && (next_random() >> 11) / 9007199254740992.0 < share && age_s() >= fail_after_s
        && !awaits_listen;
}

static int fail_with(const int *errors, size_t count)
{
    errno = errors[next_random() % count];
    return -1;
}

static int is_tcp(int fd)
{
    struct stat status;
    return fd >= 0 && fd < MAX_FDS && fd_kinds[fd] != OTHER && fstat(fd, &status) == 0
        && S_ISSOCK(status.st_mode);
}

static int is_file(int fd)
{
    struct stat status;
    return fd > 2 && fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

static void set_fd_kind(int fd, enum fd_kind kind)
{
    if (fd >= 0 && fd < MAX_FDS)
        fd_kinds[fd] = kind;
}

/* Sockets. */

int socket(int domain, int type, int protocol)
{
    static int (*real)(int, int, int);
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    if (real == NULL)
        real = next_symbol("socket");
    int tcp = (domain == AF_INET || domain == AF_INET6) && (type & 0xf) == SOCK_STREAM;
    if (tcp && should_fail(call_share))
        return fail_with(errors, LENGTH(errors));
    int fd = real(domain, type, protocol);
    set_fd_kind(fd, tcp ? TO_SERVER : OTHER);
    return fd;
}

int listen(int fd, int backlog)
{
    static int (*real)(int, int);
    if (real == NULL)
        real = next_symbol("listen");
    awaits_listen = 0;
    return real(fd, backlog);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    static int (*real)(int, const struct sockaddr *, socklen_t);
    static const int errors[] = {EADDRNOTAVAIL, EAGAIN, ENETUNREACH, EHOSTUNREACH, ECONNREFUSED};
    if (real == NULL)
        real = next_symbol("connect");
    if (is_tcp(fd) && should_fail(call_share))
        return fail_with(errors, LENGTH(errors));
    return real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    static int (*real)(int, struct sockaddr *, socklen_t *, int);
    static const int errors[] = {EINTR, EMFILE, ENFILE, ENOBUFS, ENOMEM, EAGAIN};
    if (real == NULL)
        real = next_symbol("accept4");
    if (should_fail(call_share))
        return fail_with(errors, LENGTH(errors));
    int accepted = real(fd, address, size, flags);
    set_fd_kind(accepted, FROM_CLIENT);
    return accepted;
}

static size_t random_shorter_size(size_t size)
{
    return size > 1 ? 1 + next_random() % (size - 1) : size;
}

/* Decides the outcome of a read or a write of a socket before the call. Returns 0 if the call is made
 * unchanged, -1 if it fails (errno is set), and otherwise the size that it is limited to. Only connections to
 * servers fail as dead, since it is for the client to end its own connection. */
static ssize_t before_socket_io(int fd, size_t size)
{
    static const int dead_errors[] = {ETIMEDOUT, EHOSTUNREACH};
    if (size == 0 || fd < 0 || fd >= MAX_FDS || fd_kinds[fd] == OTHER || !should_fail(call_share)
        || !is_tcp(fd))
        return 0;
    switch (next_random() % 8) {
    case 0:
        return fd_kinds[fd] == TO_SERVER ? fail_with(dead_errors, LENGTH(dead_errors))
                                         : (ssize_t)random_shorter_size(size);
    case 1:
    case 2:
        errno = EINTR;
        return -1;
    default:
        return random_shorter_size(size);
    }
}

ssize_t read(int fd, void *data, size_t size)
{
    static ssize_t (*real)(int, void *, size_t);
    if (real == NULL)
        real = next_symbol("read");
    ssize_t limit = before_socket_io(fd, size);
    return limit < 0 ? -1 : real(fd, data, limit ? (size_t)limit : size);
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    static ssize_t (*real)(int, void *, size_t, int);
    if (real == NULL)
        real = next_symbol("recv");
    ssize_t limit = before_socket_io(fd, size);
    return limit < 0 ? -1 : real(fd, data, limit ? (size_t)limit : size, flags);
}

/* Files. */

/* Decides the outcome of a write to a file; the return value is that of before_socket_io. */
static ssize_t before_file_write(int fd, size_t size)
{
    static const int errors[] = {ENOSPC, EIO};
    if (disk_share <= 0 || !is_file(fd) || !should_fail(disk_share))
        return 0;
    if (next_random() % 2 == 0)
        return fail_with(errors, LENGTH(errors));
    return random_shorter_size(size);
}

ssize_t write(int fd, const void *data, size_t size)
{
    static ssize_t (*real)(int, const void *, size_t);
    if (real == NULL)
        real = next_symbol("write");
    ssize_t limit = before_socket_io(fd, size);
    if (limit == 0)
        limit = before_file_write(fd, size);
    return limit < 0 ? -1 : real(fd, data, limit ? (size_t)limit : size);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    static ssize_t (*real)(int, const struct iovec *, int);
    if (real == NULL)
        real = next_symbol("writev");
    size_t size = 0;
    for (int index = 0; index < count; index++)
        size += parts[index].iov_len;
    ssize_t limit = before_socket_io(fd, size);
    if (limit < 0)
        return -1;
    if (limit > 0) /* a short write: only the first part */
        return real(fd, parts, 1);
    return real(fd, parts, count);
}

int fsync(int fd)
{
    static int (*real)(int);
    static const int errors[] = {ENOSPC, EIO};
    if (real == NULL)
        real = next_symbol("fsync");
    return disk_share > 0 && is_file(fd) && should_fail(disk_share) ? fail_with(errors, LENGTH(errors))
                                                                    : real(fd);
}

int fdatasync(int fd)
{
    static int (*real)(int);
    static const int errors[] = {ENOSPC, EIO};
    if (real == NULL)
        real = next_symbol("fdatasync");
    return disk_share > 0 && is_file(fd) && should_fail(disk_share) ? fail_with(errors, LENGTH(errors))
                                                                    : real(fd);
}

int close(int fd)
{
    static int (*real)(int);
    if (real == NULL)
        real = next_symbol("close");
    set_fd_kind(fd, OTHER);
    return real(fd);
}

/* The wall clock. */

static double wall_clock_offset_s(void)
{
    return clock_offset_s + (clock_step_s != 0 && age_s() >= step_after_s ? clock_step_s : 0);
}

int clock_gettime(clockid_t clock_id, struct timespec *result)
{
    if (real_clock_gettime == NULL)
        real_clock_gettime = next_symbol("clock_gettime");
    int status = real_clock_gettime(clock_id, result);
    if (status == 0 && clock_id == CLOCK_REALTIME && (clock_offset_s != 0 || clock_step_s != 0))
        result->tv_sec += (time_t)wall_clock_offset_s();
    return status;
}

int gettimeofday(struct timeval *restrict result, void *restrict zone)
{
    static int (*real)(struct timeval *, void *);
    if (real == NULL)
        real = next_symbol("gettimeofday");
    int status = real(result, zone);
    if (status == 0)
        result->tv_sec += (time_t)wall_clock_offset_s();
    return status;
}
