/*
 * Faults of the operating system for one process: preloaded, it lets the calls below fail or end early, and moves the wall clock, as a
 * plan in a shared file says (FAULT_SHIM_PLAN: 64-bit integers in the order of enum field). Files are only touched below the folder that
 * FAULT_SHIM_FOLDER names. The monotonic clock runs on. Built and used by the soak alone.
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
    HOLD_UP_PER_MILLE, HOLD_UP_MICROS, FIELDS
};

static volatile int64_t *plan;
static const char *folder;
static int (*real_clock_gettime)(clockid_t, struct timespec *);
static __thread uint64_t chance;

__attribute__((constructor)) static void start(void) {
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

static int64_t value(enum field of) {
    return plan ? plan[of] : 0;
}

/* Whether an event of this share, in thousandths, comes now. */
static int comes(enum field of) {
    int64_t share = value(of);
    if (share <= 0) {
        return 0;
    }
    if (chance == 0) {
        chance = (uint64_t) &chance ^ ((uint64_t) syscall(SYS_gettid) << 32) ^ 0x9e3779b97f4a7c15ULL;
    }
    chance ^= chance << 13;
    chance ^= chance >> 7;
    chance ^= chance << 17;
    return (int64_t) (chance % 1000) < share;
}

static int fails(enum field error, enum field share) {
    if (value(error) == 0 || !comes(share)) {
        return 0;
    }
    errno = (int) value(error);
    return 1;
}

static mode_t kind(int fd) {
    struct stat about;
    return fstat(fd, &about) == 0 ? about.st_mode & S_IFMT : 0;
}

static int below_folder(int fd) {
    if (!folder || kind(fd) != S_IFREG) {
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
    int64_t offset = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE ? value(WALL_OFFSET_NANOS) : 0;
    if (result == 0 && offset != 0) {
        int64_t all = (int64_t) into->tv_sec * 1000000000 + into->tv_nsec + offset;
        into->tv_sec = all / 1000000000;
        into->tv_nsec = all % 1000000000;
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

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return fails(ACCEPT_ERRNO, ACCEPT_PER_MILLE) ? -1 : REAL(accept)(fd, address, length);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    return address->sa_family == AF_INET && fails(CONNECT_ERRNO, CONNECT_PER_MILLE) ? -1 : REAL(connect)(fd, address, length);
}

int socket(int family, int type, int protocol) {
    return family == AF_INET && fails(SOCKET_ERRNO, SOCKET_PER_MILLE) ? -1 : REAL(socket)(family, type, protocol);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *with, void *(*run)(void *), void *argument) {
    return comes(THREAD_PER_MILLE) ? EAGAIN : REAL(pthread_create)(thread, with, run, argument);
}

static size_t shortened(int fd, size_t length) {
    return length > 1 && comes(SHORT_PER_MILLE) && kind(fd) == S_IFSOCK ? 1 + length / 3 : length;
}

static int interrupted(int fd) {
    if (comes(INTERRUPT_PER_MILLE) && kind(fd) == S_IFSOCK) {
        errno = EINTR;
        return 1;
    }
    return 0;
}

/* When the process was last held up, on the monotonic clock. */
static int64_t held_up_at;
static const int64_t HOLD_UP_REST_NANOS = 1000000000;

/*
 * The clock that the caller has read is as old as this when its bytes go. The process is held up once a second at the most: held up at
 * write after write, one thread that greets a crowd would stand still for seconds.
 */
static void hold_up(int fd) {
    if (!comes(HOLD_UP_PER_MILLE) || kind(fd) != S_IFSOCK) {
        return;
    }
    struct timespec at;
    clock_gettime(CLOCK_MONOTONIC, &at);
    int64_t now = (int64_t) at.tv_sec * 1000000000 + at.tv_nsec;
    int64_t last = __atomic_load_n(&held_up_at, __ATOMIC_RELAXED);
    if (now - last >= HOLD_UP_REST_NANOS
            && __atomic_compare_exchange_n(&held_up_at, &last, now, 0, __ATOMIC_RELAXED, __ATOMIC_RELAXED)) {
        usleep((useconds_t) value(HOLD_UP_MICROS));
    }
}

static int file_fails(int fd) {
    if (value(FILE_ERRNO) != 0 && below_folder(fd)) {
        errno = (int) value(FILE_ERRNO);
        return 1;
    }
    return 0;
}

static size_t file_shortened(int fd, size_t length) {
    return length > 1 && value(FILE_SHORT) != 0 && below_folder(fd) ? 1 + length / 2 : length;
}

ssize_t read(int fd, void *into, size_t length) {
    return interrupted(fd) ? -1 : REAL(read)(fd, into, shortened(fd, length));
}

ssize_t recv(int fd, void *into, size_t length, int flags) {
    return interrupted(fd) ? -1 : REAL(recv)(fd, into, shortened(fd, length), flags);
}

ssize_t write(int fd, const void *from, size_t length) {
    if (interrupted(fd) || file_fails(fd)) {
        return -1;
    }
    hold_up(fd);
    return REAL(write)(fd, from, file_shortened(fd, shortened(fd, length)));
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    if (interrupted(fd)) {
        return -1;
    }
    hold_up(fd);
    return REAL(send)(fd, from, shortened(fd, length), flags);
}

ssize_t pwrite(int fd, const void *from, size_t length, off_t at) {
    return file_fails(fd) ? -1 : REAL(pwrite)(fd, from, file_shortened(fd, length), at);
}

ssize_t pwrite64(int fd, const void *from, size_t length, off64_t at) {
    return file_fails(fd) ? -1 : REAL(pwrite64)(fd, from, file_shortened(fd, length), at);
}

int fsync(int fd) {
    return file_fails(fd) ? -1 : REAL(fsync)(fd);
}

int fdatasync(int fd) {
    return file_fails(fd) ? -1 : REAL(fdatasync)(fd);
}
