/*
 * Injects operating-system faults into one process. Preloaded, it makes the calls below fail or transfer fewer bytes than
 * requested, and shifts the wall clock, as set in a shared file (FAULT_SHIM_PLAN: 64-bit integers in the order of enum
 * field). File faults apply only to regular files whose path begins with FAULT_SHIM_FOLDER. The monotonic clock is not
 * changed. Used by tests and scenarios only.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum field {
    WALL_OFFSET_NANOS, ACCEPT_ERRNO, ACCEPT_PER_MILLE, CONNECT_ERRNO, CONNECT_PER_MILLE, SOCKET_ERRNO, SOCKET_PER_MILLE,
    THREAD_PER_MILLE, SHORT_PER_MILLE, INTERRUPT_PER_MILLE, FILE_ERRNO, FILE_SHORT,
    HOLD_UP_PER_MILLE, HOLD_UP_MICROS, MAX_FAILED_ACCEPTS, FIELDS
};

static volatile int64_t *plan;
static const char *folder;
static int (*real_clock_gettime)(clockid_t, struct timespec *);
static __thread uint64_t random_state;

__attribute__((constructor)) static void initialize(void) {
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    folder = getenv("FAULT_SHIM_FOLDER");
    const char *file = getenv("FAULT_SHIM_PLAN");
    int fd = file ? open(file, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ, MAP_SHARED, fd, 0);
    close(fd);
    plan = mapped == MAP_FAILED ? NULL : mapped;
}

static int64_t plan_value(enum field index) {
    return plan ? plan[index] : 0;
}

/* Whether a fault with this probability, in thousandths, is injected into the current call. */
static int should_inject(enum field probability) {
    int64_t per_mille = plan_value(probability);
    if (per_mille <= 0) {
        return 0;
    }
    if (random_state == 0) {
        random_state = (uint64_t) &random_state ^ ((uint64_t) syscall(SYS_gettid) << 32) ^ 0x9e3779b97f4a7c15ULL;
    }
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (int64_t) (random_state % 1000) < per_mille;
}

static int inject_error(enum field error, enum field probability) {
    if (plan_value(error) == 0 || !should_inject(probability)) {
        return 0;
    }
    errno = (int) plan_value(error);
    return 1;
}

static mode_t file_type(int fd) {
    struct stat status;
    return fstat(fd, &status) == 0 ? status.st_mode & S_IFMT : 0;
}

static int is_below_folder(int fd) {
    if (!folder || file_type(fd) != S_IFREG) {
        return 0;
    }
    char link[64];
    char path[4096];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t n = readlink(link, path, sizeof path - 1);
    return n > 0 && strncmp(path, folder, strlen(folder)) == 0;
}

#define REAL(name) ({ static __typeof__(&name) next; if (!next) { next = dlsym(RTLD_NEXT, #name); } next; })

int clock_gettime(clockid_t clock, struct timespec *into) {
    int result = real_clock_gettime ? real_clock_gettime(clock, into) : (int) syscall(SYS_clock_gettime, clock, into);
    int64_t offset = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE ? plan_value(WALL_OFFSET_NANOS) : 0;
    if (result == 0 && offset != 0) {
        int64_t total_nanos = (int64_t) into->tv_sec * 1000000000 + into->tv_nsec + offset;
        into->tv_sec = total_nanos / 1000000000;
        into->tv_nsec = total_nanos % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *into, void *zone) {
    (void) zone;
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    into->tv_sec = now.tv_sec;
    into->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *into) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (into) {
        *into = now.tv_sec;
    }
    return now.tv_sec;
}

/* How many accepts this process has failed. */
static int64_t failed_accepts;

/* Whether the current accept fails: with the set probability, and at most MAX_FAILED_ACCEPTS times if that is set. */
static int should_fail_accept(void) {
    int64_t limit = plan_value(MAX_FAILED_ACCEPTS);
    if (limit != 0 && __atomic_load_n(&failed_accepts, __ATOMIC_RELAXED) >= limit) {
        return 0;
    }
    if (!inject_error(ACCEPT_ERRNO, ACCEPT_PER_MILLE)) {
        return 0;
    }
    __atomic_fetch_add(&failed_accepts, 1, __ATOMIC_RELAXED);
    return 1;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return should_fail_accept() ? -1 : REAL(accept)(fd, address, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    return address->sa_family == AF_INET && inject_error(CONNECT_ERRNO, CONNECT_PER_MILLE) ? -1 : REAL(connect)(fd, address, length);
}

int socket(int family, int type, int protocol) {
    return family == AF_INET && inject_error(SOCKET_ERRNO, SOCKET_PER_MILLE) ? -1 : REAL(socket)(family, type, protocol);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*routine)(void *), void *argument) {
    return should_inject(THREAD_PER_MILLE) ? EAGAIN : REAL(pthread_create)(thread, attributes, routine, argument);
}

static size_t shorten(int fd, size_t length) {
    return length > 1 && should_inject(SHORT_PER_MILLE) && file_type(fd) == S_IFSOCK ? 1 + length / 3 : length;
}

static int inject_interrupt(int fd) {
    if (should_inject(INTERRUPT_PER_MILLE) && file_type(fd) == S_IFSOCK) {
        errno = EINTR;
        return 1;
    }
    return 0;
}

/* When the process was last held up, in nanoseconds of the monotonic clock. */
static int64_t last_hold_up_nanos;
static const int64_t MIN_HOLD_UP_INTERVAL_NANOS = 1000000000;

/*
 * Delays a write on a socket by HOLD_UP_MICROS, so that the caller's last reading of the clock is outdated by as much when
 * the bytes are sent. A process is delayed at most once a second: with a delay on write after write, a thread that sends
 * the greetings to many new clients would be blocked for seconds.
 */
static void hold_up(int fd) {
    if (!should_inject(HOLD_UP_PER_MILLE) || file_type(fd) != S_IFSOCK) {
        return;
    }
    struct timespec reading;
    clock_gettime(CLOCK_MONOTONIC, &reading);
    int64_t now = (int64_t) reading.tv_sec * 1000000000 + reading.tv_nsec;
    int64_t previous = __atomic_load_n(&last_hold_up_nanos, __ATOMIC_RELAXED);
    if (now - previous >= MIN_HOLD_UP_INTERVAL_NANOS
            && __atomic_compare_exchange_n(&last_hold_up_nanos, &previous, now, 0, __ATOMIC_RELAXED, __ATOMIC_RELAXED)) {
        usleep((useconds_t) plan_value(HOLD_UP_MICROS));
    }
}

static int inject_file_error(int fd) {
    if (plan_value(FILE_ERRNO) != 0 && is_below_folder(fd)) {
        errno = (int) plan_value(FILE_ERRNO);
        return 1;
    }
    return 0;
}

static size_t shorten_file_write(int fd, size_t length) {
    return length > 1 && plan_value(FILE_SHORT) != 0 && is_below_folder(fd) ? 1 + length / 2 : length;
}

ssize_t read(int fd, void *into, size_t length) {
    return inject_interrupt(fd) ? -1 : REAL(read)(fd, into, shorten(fd, length));
}

ssize_t recv(int fd, void *into, size_t length, int flags) {
    return inject_interrupt(fd) ? -1 : REAL(recv)(fd, into, shorten(fd, length), flags);
}

ssize_t write(int fd, const void *from, size_t length) {
    if (inject_interrupt(fd) || inject_file_error(fd)) {
        return -1;
    }
    hold_up(fd);
    return REAL(write)(fd, from, shorten_file_write(fd, shorten(fd, length)));
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    if (inject_interrupt(fd)) {
        return -1;
    }
    hold_up(fd);
    return REAL(send)(fd, from, shorten(fd, length), flags);
}

ssize_t pwrite(int fd, const void *from, size_t length, off_t offset) {
    return inject_file_error(fd) ? -1 : REAL(pwrite)(fd, from, shorten_file_write(fd, length), offset);
}

ssize_t pwrite64(int fd, const void *from, size_t length, off64_t offset) {
    return inject_file_error(fd) ? -1 : REAL(pwrite64)(fd, from, shorten_file_write(fd, length), offset);
}

int fsync(int fd) {
    return inject_file_error(fd) ? -1 : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    return inject_file_error(fd) ? -1 : REAL(fdatasync)(fd);
}
