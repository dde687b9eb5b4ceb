/*
 * Loader of the single-file program: unpacks the archive appended to it, unless that was done
 * before, and replaces itself by the program in it with execv, so that there is a single process.
 *
 * Layout of the file: this program, a ustar archive, the length of the archive (8 bytes,
 * big-endian), and a digest of 16 hexadecimal digits that names the directory of the unpacked
 * program.
 */

#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

enum { BLOCK = 512, LENGTH_BYTES = 8, DIGEST_BYTES = 16, PATH_BYTES = 4096 };

struct header {
    char name[100], mode[8], uid[8], gid[8], size[12], mtime[12], checksum[8], type, link[100];
    char magic[6], version[2], owner[32], group[32], major[8], minor[8], prefix[155], pad[12];
};

static void fail(const char *what)
{
    fprintf(stderr, "hollyring: %s: %s\n", what, strerror(errno));
    exit(1);
}

static void read_exactly(FILE *file, void *buffer, size_t size)
{
    if (fread(buffer, 1, size, file) != size)
        fail("the program file is truncated");
}

static void make_parents(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash; slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0700) && errno != EEXIST)
            fail(path);
        *slash = '/';
    }
}

static void extract_file(FILE *file, const char *path, uint64_t size, mode_t mode)
{
    static char buffer[1 << 16];
    int out = open(path, O_WRONLY | O_CREAT | O_EXCL, mode);

    if (out < 0)
        fail(path);
    while (size > 0) {
        size_t chunk = size < sizeof buffer ? (size_t)size : sizeof buffer;
        read_exactly(file, buffer, chunk);
        if (write(out, buffer, chunk) != (ssize_t)chunk)
            fail(path);
        size -= chunk;
    }
    close(out);
}

static void unpack(FILE *file, uint64_t length, const char *directory)
{
    struct header head;
    char path[2 * PATH_BYTES];
    uint64_t consumed = 0;

    while (consumed < length) {
        read_exactly(file, &head, BLOCK);
        consumed += BLOCK;
        if (head.name[0] == '\0')
            break;
        uint64_t size = strtoull(head.size, NULL, 8);
        mode_t mode = (mode_t)strtoul(head.mode, NULL, 8);
        snprintf(path, sizeof path, "%s/%.155s%s%.100s", directory, head.prefix,
                 head.prefix[0] ? "/" : "", head.name);
        make_parents(path);
        if (head.type == '5') {
            if (mkdir(path, 0700) && errno != EEXIST)
                fail(path);
        } else if (head.type == '2') {
            if (symlink(head.link, path))
                fail(path);
        } else {
            extract_file(file, path, size, mode);
            uint64_t padding = (BLOCK - size % BLOCK) % BLOCK;
            if (fseeko(file, (off_t)padding, SEEK_CUR))
                fail("seek");
            consumed += size + padding;
        }
    }
}

int main(int argc, char **argv)
{
    char self[PATH_BYTES], directory[PATH_BYTES], temp[PATH_BYTES + 16], program[PATH_BYTES + 16];
    char digest[DIGEST_BYTES + 1] = {0};
    unsigned char length_field[LENGTH_BYTES];
    uint64_t length = 0;
    const char *parent = getenv("HOLLYRING_SCRATCH");
    ssize_t self_length = readlink("/proc/self/exe", self, sizeof self - 1);

    (void)argc;
    if (self_length < 0)
        fail("/proc/self/exe");
    self[self_length] = '\0';
    FILE *file = fopen(self, "rb");
    if (!file || fseeko(file, -(off_t)(LENGTH_BYTES + DIGEST_BYTES), SEEK_END))
        fail(self);
    off_t end = ftello(file);
    read_exactly(file, length_field, LENGTH_BYTES);
    read_exactly(file, digest, DIGEST_BYTES);
    for (int i = 0; i < LENGTH_BYTES; i++)
        length = length << 8 | length_field[i];

    snprintf(directory, sizeof directory, "%.3000s/hollyring-%u-%s", parent ? parent : "/tmp",
             (unsigned)getuid(), digest);
    snprintf(program, sizeof program, "%s/hollyring", directory);
    struct stat info;
    if (lstat(directory, &info)) {
        snprintf(temp, sizeof temp, "%s.%d", directory, (int)getpid());
        if (mkdir(temp, 0700))
            fail(temp);
        if (fseeko(file, end - (off_t)length, SEEK_SET))
            fail("seek");
        unpack(file, length, temp);
        /* Another process may have created the directory meanwhile, with the same content. */
        if (rename(temp, directory) && errno != EEXIST && errno != ENOTEMPTY)
            fail(directory);
    } else if (!S_ISDIR(info.st_mode) || info.st_uid != getuid()) {
        fprintf(stderr, "hollyring: %s is not a directory owned by this user\n", directory);
        return 1;
    }
    fclose(file);
    execv(program, argv);
    fail(program);
}
