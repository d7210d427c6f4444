/* Fault injection, loaded into the proxy by the tests with LD_PRELOAD: fails system calls at random and shifts the wall
 * clock. The file named by FAULTS is shared with the test, which changes it while the proxy runs. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

struct faults {
    int64_t clock_offset_us;
    int64_t accept_percent;
    int64_t connect_percent;
    int64_t reload_percent;
};

static volatile const struct faults *faults;
/* State of an xorshift32 generator. */
static uint32_t random_state = 2463534242u;

__attribute__((constructor)) static void map_faults_file(void) {
    const char *path = getenv("FAULTS");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *shared = mmap(NULL, sizeof(struct faults), PROT_READ, MAP_SHARED, file, 0);
    if (shared != MAP_FAILED) faults = shared;
    close(file);
}

static uint32_t next_random(void) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 17;
    random_state ^= random_state << 5;
    return random_state;
}

/* Returns 1, with errno set to one of the errors, for this percentage of the calls; otherwise 0. */
static int inject_failure(int64_t percent, const int *errors, size_t count) {
    if ((int64_t)(next_random() % 100) >= percent) return 0;
    errno = errors[next_random() % count];
    return 1;
}

/* The libc function that is replaced here. */
#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int fd, struct sockaddr *restrict from, socklen_t *restrict length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EPROTO};
    if (faults && inject_failure(faults->accept_percent, errors, 5)) return -1;
    return REAL(accept4)(fd, from, length, flags);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    static const int errors[] = {EADDRNOTAVAIL, ENOBUFS, ENETUNREACH};
    if (faults && inject_failure(faults->connect_percent, errors, 3)) return -1;
    return REAL(connect)(fd, to, length);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS};
    if (faults && inject_failure(faults->connect_percent, errors, 3)) return -1;
    return REAL(socket)(domain, type, protocol);
}

/* Affects only the configuration file, which is the only .json file that the proxy opens. */
int open64(const char *path, int flags, ...) {
    static const int errors[] = {EMFILE, ENFILE, ENOMEM};
    size_t length = strlen(path);
    int is_config = length > 5 && strcmp(path + length - 5, ".json") == 0;
    if (faults && is_config && inject_failure(faults->reload_percent, errors, 3)) return -1;
    return REAL(open64)(path, flags, 0600);
}

int pthread_create(pthread_t *restrict thread, const pthread_attr_t *restrict attr, void *(*run)(void *),
                   void *restrict arg) {
    static const int errors[] = {EAGAIN};
    if (faults && inject_failure(faults->reload_percent, errors, 1)) return EAGAIN;
    return REAL(pthread_create)(thread, attr, run, arg);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    int result = REAL(clock_gettime)(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && faults) {
        int64_t ns = time->tv_nsec + faults->clock_offset_us % 1000000 * 1000;
        time->tv_sec += faults->clock_offset_us / 1000000 + (ns < 0 ? -1 : ns >= 1000000000 ? 1 : 0);
        time->tv_nsec = ns < 0 ? ns + 1000000000 : ns >= 1000000000 ? ns - 1000000000 : ns;
    }
    return result;
}
