/* Launcher of the one-file program.
 *
 * The file consists of this launcher, an archive of the program's folder as a
 * gzip stream, and a trailer. The launcher unpacks the archive once into the
 * runtime folder and replaces itself with the unpacked program by execv, so
 * that the process keeps its pid and never has a child.
 *
 * The runtime folder is $APRICOTCART_RUNTIME_DIR, or else the folder "runtime"
 * in the [data] folder of the --settings file, or else the folder
 * "apricotcart.runtime" next to this file unless that is below the home folder.
 */
#define _GNU_SOURCE

#include <ctype.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zlib.h>

#define MAGIC "apricotcart-pack"
#define MAGIC_BYTES 16
#define ID_BYTES 32
#define TRAILER_BYTES (MAGIC_BYTES + ID_BYTES + 8)
#define MAX_LINE_BYTES 4096
#define BUFFER_BYTES 65536
#define EXIT_UNPACK_FAILED 1
#define RUNTIME_VARIABLE "APRICOTCART_RUNTIME_DIR"

struct archive {
    int file;
    off_t start;
    char id[ID_BYTES + 1];
};

static void exit_with_error(const char *action, const char *path)
{
    fprintf(stderr, "apricotcart: %s %s: %s\n", action, path, strerror(errno));
    exit(EXIT_UNPACK_FAILED);
}

static void join_path(char *out, const char *folder, const char *name)
{
    int length = snprintf(out, PATH_MAX, "%s/%s", folder, name);
    if (length < 0 || length >= PATH_MAX) {
        errno = ENAMETOOLONG;
        exit_with_error("cannot build a path below", folder);
    }
}

static void open_archive(struct archive *archive, const char *self)
{
    unsigned char trailer[TRAILER_BYTES];
    uint64_t size = 0;
    off_t end;

    archive->file = open(self, O_RDONLY | O_CLOEXEC);
    if (archive->file < 0)
        exit_with_error("cannot open", self);
    end = lseek(archive->file, -TRAILER_BYTES, SEEK_END);
    if (end < 0 || read(archive->file, trailer, TRAILER_BYTES) != TRAILER_BYTES)
        exit_with_error("cannot read", self);
    if (memcmp(trailer, MAGIC, MAGIC_BYTES) != 0) {
        errno = ENOEXEC;
        exit_with_error("no archive is attached to", self);
    }
    memcpy(archive->id, trailer + MAGIC_BYTES, ID_BYTES);
    archive->id[ID_BYTES] = '\0';
    for (int position = TRAILER_BYTES - 1; position >= TRAILER_BYTES - 8;
         position--)
        size = size << 8 | trailer[position];
    archive->start = end - (off_t)size;
}

/* Trims whitespace at both ends in place and returns the new start. */
static char *strip(char *text)
{
    char *end = text + strlen(text);
    while (end > text && isspace((unsigned char)end[-1]))
        *--end = '\0';
    while (isspace((unsigned char)*text))
        text++;
    return text;
}

/* Returns the value of a "folder = PATH" line, or NULL for other lines. */
static char *parse_folder_line(char *line)
{
    char *equals = strpbrk(line, "=:");
    if (!equals)
        return NULL;
    *equals = '\0';
    return strcmp(strip(line), "folder") == 0 ? strip(equals + 1) : NULL;
}

static int find_runtime_in_data_folder(char *out, const char *settings)
{
    char line[MAX_LINE_BYTES], folder[PATH_MAX], *value = NULL, *slash;
    int is_data_section = 0;
    FILE *file = fopen(settings, "re");

    if (!file)
        return 0; /* The program itself reports the error. */
    while (!value && fgets(line, sizeof line, file)) {
        char *text = strip(line);
        if (*text == '#' || *text == ';')
            continue;
        if (*text == '[')
            is_data_section = strcmp(text, "[data]") == 0;
        else if (is_data_section)
            value = parse_folder_line(text);
    }
    fclose(file);
    if (!value || !*value)
        return 0;
    if (*value == '/') {
        join_path(out, value, "runtime");
        return 1;
    }
    join_path(folder, settings, "");
    folder[strlen(settings)] = '\0';
    slash = strrchr(folder, '/');
    if (slash)
        *slash = '\0';
    else
        strcpy(folder, ".");
    join_path(out, folder, value);
    strcpy(folder, out);
    join_path(out, folder, "runtime");
    return 1;
}

static const char *find_settings_argument(int argc, char **argv)
{
    const char option[] = "--settings";
    size_t length = sizeof option - 1;

    for (int i = 1; i < argc; i++) {
        if (strncmp(argv[i], option, length) != 0)
            continue;
        if (argv[i][length] == '=')
            return argv[i] + length + 1;
        if (argv[i][length] == '\0' && i + 1 < argc)
            return argv[i + 1];
    }
    return NULL;
}

static int is_below(const char *path, const char *folder)
{
    char real_folder[PATH_MAX];
    size_t length;

    if (!folder || !*folder || !realpath(folder, real_folder))
        return 0;
    length = strlen(real_folder);
    if (length == 1)
        return 0; /* A home folder of "/" excludes no path. */
    return strncmp(path, real_folder, length) == 0 &&
           (path[length] == '/' || path[length] == '\0');
}

static void find_runtime_folder(char *out, int argc, char **argv, char *self)
{
    const char *variable = getenv(RUNTIME_VARIABLE);
    const char *settings = find_settings_argument(argc, argv);

    if (variable && *variable) {
        join_path(out, variable, "");
        out[strlen(variable)] = '\0';
        return;
    }
    if (settings && find_runtime_in_data_folder(out, settings))
        return;
    if (is_below(self, getenv("HOME"))) {
        fprintf(stderr,
                "apricotcart: the program file is below the home folder; set "
                RUNTIME_VARIABLE " to the folder for unpacking\n");
        exit(EXIT_UNPACK_FAILED);
    }
    join_path(out, self, "");
    strcpy(out + strlen(self), ".runtime");
}

/* Creates a folder and any missing parents. */
static void create_folders(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash;
         slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0755) != 0 && errno != EEXIST)
            exit_with_error("cannot create", path);
        *slash = '/';
    }
    if (mkdir(path, 0755) != 0 && errno != EEXIST)
        exit_with_error("cannot create", path);
}

static void read_exactly(gzFile stream, void *out, unsigned length)
{
    if (gzread(stream, out, length) != (int)length) {
        errno = EIO;
        exit_with_error("cannot read", "the attached archive");
    }
}

static void unpack_file(gzFile stream, const char *path, int mode,
                        uint64_t size)
{
    static char buffer[BUFFER_BYTES];
    int file = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);

    if (file < 0)
        exit_with_error("cannot create", path);
    while (size > 0) {
        unsigned chunk = size < BUFFER_BYTES ? (unsigned)size : BUFFER_BYTES;
        read_exactly(stream, buffer, chunk);
        for (unsigned offset = 0; offset < chunk;) {
            ssize_t written = write(file, buffer + offset, chunk - offset);
            if (written < 0)
                exit_with_error("cannot write", path);
            offset += (unsigned)written;
        }
        size -= chunk;
    }
    if (close(file) != 0)
        exit_with_error("cannot write", path);
}

/* Unpacks all entries. An entry is "TYPE MODE SIZE PATH\n" and SIZE bytes. TYPE
 * is f for a file, d for a folder, l for a symbolic link, whose bytes are its
 * target, and e for the end of the archive. */
static void unpack_all(const struct archive *archive, const char *folder)
{
    char line[MAX_LINE_BYTES], name[MAX_LINE_BYTES];
    char path[PATH_MAX], target[PATH_MAX];
    char type;
    int mode;
    unsigned long long size;
    gzFile stream;

    if (lseek(archive->file, archive->start, SEEK_SET) < 0 ||
        !(stream = gzdopen(dup(archive->file), "r")))
        exit_with_error("cannot read", "the attached archive");
    while (gzgets(stream, line, sizeof line)) {
        if (sscanf(line, "%c %o %llu %[^\n]", &type, (unsigned *)&mode, &size,
                   name) != 4)
            break;
        if (type == 'e') {
            gzclose(stream);
            return;
        }
        join_path(path, folder, name);
        if (type == 'f') {
            unpack_file(stream, path, mode, size);
        } else if (type == 'd') {
            if (mkdir(path, mode) != 0)
                exit_with_error("cannot create", path);
        } else if (size < PATH_MAX) {
            read_exactly(stream, target, (unsigned)size);
            target[size] = '\0';
            if (symlink(target, path) != 0)
                exit_with_error("cannot create", path);
        }
    }
    errno = EIO;
    exit_with_error("cannot read", "the attached archive");
}

static void remove_tree(const char *path)
{
    char child[PATH_MAX];
    struct dirent *entry;
    DIR *folder = opendir(path);

    while (folder && (entry = readdir(folder))) {
        if (strcmp(entry->d_name, ".") == 0 || strcmp(entry->d_name, "..") == 0)
            continue;
        join_path(child, path, entry->d_name);
        if (unlink(child) != 0)
            remove_tree(child);
    }
    if (folder)
        closedir(folder);
    rmdir(path);
}

/* Unpacks to a temporary folder and renames it, so that the target is never
 * incomplete. */
static void unpack(const struct archive *archive, char *runtime,
                   const char *target)
{
    char temporary[PATH_MAX], name[64];
    int folder;

    create_folders(runtime);
    snprintf(name, sizeof name, "%.8s.%ld.part", archive->id, (long)getpid());
    join_path(temporary, runtime, name);
    remove_tree(temporary);
    if (mkdir(temporary, 0755) != 0)
        exit_with_error("cannot create", temporary);
    unpack_all(archive, temporary);
    /* Without a sync, a power loss after the rename could leave empty files. */
    folder = open(temporary, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0 || syncfs(folder) != 0)
        exit_with_error("cannot sync", temporary);
    close(folder);
    if (rename(temporary, target) != 0) {
        /* Another process has already unpacked this version. */
        if (errno != EEXIST && errno != ENOTEMPTY)
            exit_with_error("cannot create", target);
        remove_tree(temporary);
    }
}

int main(int argc, char **argv)
{
    char self[PATH_MAX], runtime[PATH_MAX], target[PATH_MAX];
    char program[PATH_MAX];
    struct archive archive;
    ssize_t length = readlink("/proc/self/exe", self, sizeof self - 1);

    if (length < 0)
        exit_with_error("cannot read", "/proc/self/exe");
    self[length] = '\0';
    open_archive(&archive, self);
    find_runtime_folder(runtime, argc, argv, self);
    join_path(target, runtime, archive.id);
    join_path(program, target, "apricotcart");
    if (access(program, X_OK) != 0)
        unpack(&archive, runtime, target);
    execv(program, argv);
    exit_with_error("cannot start", program);
}
