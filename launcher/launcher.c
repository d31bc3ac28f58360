/* Start of the one-file program.
 *
 * The file is this launcher, then a gzip stream with the program's folder,
 * then a trailer. The launcher unpacks the folder once into the runtime folder
 * and replaces itself with the program there by execv, so that the process
 * keeps its pid and never has a child.
 *
 * The runtime folder is $APRICOTCART_RUNTIME_DIR, or else the folder "runtime"
 * in the [data] folder of the --settings file, or else the folder
 * "apricotcart.runtime" beside this file unless that is below the home folder.
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
#define MAX_LINE 4096
#define BLOCK_BYTES 65536
#define EXIT_UNPACK_FAILED 1
#define RUNTIME_VARIABLE "APRICOTCART_RUNTIME_DIR"

struct pack {
    int file;
    off_t start;
    char id[ID_BYTES + 1];
};

static void fail(const char *what, const char *path)
{
    fprintf(stderr, "apricotcart: %s %s: %s\n", what, path, strerror(errno));
    exit(EXIT_UNPACK_FAILED);
}

static void join(char *out, const char *folder, const char *name)
{
    int length = snprintf(out, PATH_MAX, "%s/%s", folder, name);
    if (length < 0 || length >= PATH_MAX) {
        errno = ENAMETOOLONG;
        fail("path", folder);
    }
}

static void open_pack(struct pack *pack, const char *self)
{
    unsigned char trailer[TRAILER_BYTES];
    uint64_t size = 0;
    off_t end;

    pack->file = open(self, O_RDONLY | O_CLOEXEC);
    if (pack->file < 0)
        fail("cannot open", self);
    end = lseek(pack->file, -TRAILER_BYTES, SEEK_END);
    if (end < 0 || read(pack->file, trailer, TRAILER_BYTES) != TRAILER_BYTES)
        fail("cannot read", self);
    if (memcmp(trailer, MAGIC, MAGIC_BYTES) != 0) {
        errno = ENOEXEC;
        fail("no program is attached to", self);
    }
    memcpy(pack->id, trailer + MAGIC_BYTES, ID_BYTES);
    pack->id[ID_BYTES] = '\0';
    for (int position = TRAILER_BYTES - 1; position >= TRAILER_BYTES - 8;
         position--)
        size = size << 8 | trailer[position];
    pack->start = end - (off_t)size;
}

/* Removes the space around a text and gives its start. */
static char *strip(char *text)
{
    char *end = text + strlen(text);
    while (end > text && isspace((unsigned char)end[-1]))
        *--end = '\0';
    while (isspace((unsigned char)*text))
        text++;
    return text;
}

/* Gives the value of a "folder = PATH" line, or NULL for any other line. */
static char *folder_value(char *line)
{
    char *equals = strpbrk(line, "=:");
    if (!equals)
        return NULL;
    *equals = '\0';
    return strcmp(strip(line), "folder") == 0 ? strip(equals + 1) : NULL;
}

static int data_folder(char *out, const char *settings)
{
    char line[MAX_LINE], folder[PATH_MAX], *value = NULL, *slash;
    int in_data = 0;
    FILE *file = fopen(settings, "re");

    if (!file)
        return 0; /* The program itself reports it. */
    while (!value && fgets(line, sizeof line, file)) {
        char *text = strip(line);
        if (*text == '#' || *text == ';')
            continue;
        if (*text == '[')
            in_data = strcmp(text, "[data]") == 0;
        else if (in_data)
            value = folder_value(text);
    }
    fclose(file);
    if (!value || !*value)
        return 0;
    if (*value == '/') {
        join(out, value, "runtime");
        return 1;
    }
    join(folder, settings, "");
    folder[strlen(settings)] = '\0';
    slash = strrchr(folder, '/');
    if (slash)
        *slash = '\0';
    else
        strcpy(folder, ".");
    join(out, folder, value);
    strcpy(folder, out);
    join(out, folder, "runtime");
    return 1;
}

static const char *settings_argument(int count, char **arguments)
{
    const char option[] = "--settings";
    size_t length = sizeof option - 1;

    for (int i = 1; i < count; i++) {
        if (strncmp(arguments[i], option, length) != 0)
            continue;
        if (arguments[i][length] == '=')
            return arguments[i] + length + 1;
        if (arguments[i][length] == '\0' && i + 1 < count)
            return arguments[i + 1];
    }
    return NULL;
}

static int is_below(const char *path, const char *folder)
{
    char real[PATH_MAX];
    size_t length;

    if (!folder || !*folder || !realpath(folder, real))
        return 0;
    length = strlen(real);
    if (length == 1)
        return 0; /* A home folder of "/" excludes nothing. */
    return strncmp(path, real, length) == 0 &&
           (path[length] == '/' || path[length] == '\0');
}

static void runtime_folder(char *out, int count, char **arguments, char *self)
{
    const char *variable = getenv(RUNTIME_VARIABLE);
    const char *settings = settings_argument(count, arguments);

    if (variable && *variable) {
        join(out, variable, "");
        out[strlen(variable)] = '\0';
        return;
    }
    if (settings && data_folder(out, settings))
        return;
    if (is_below(self, getenv("HOME"))) {
        fprintf(stderr,
                "apricotcart: this program is below the home folder; set "
                RUNTIME_VARIABLE " to the folder to unpack it in\n");
        exit(EXIT_UNPACK_FAILED);
    }
    join(out, self, "");
    strcpy(out + strlen(self), ".runtime");
}

/* Makes a folder and, if needed, those above it. */
static void make_folders(char *path)
{
    for (char *slash = strchr(path + 1, '/'); slash;
         slash = strchr(slash + 1, '/')) {
        *slash = '\0';
        if (mkdir(path, 0755) != 0 && errno != EEXIST)
            fail("cannot create", path);
        *slash = '/';
    }
    if (mkdir(path, 0755) != 0 && errno != EEXIST)
        fail("cannot create", path);
}

static void read_exactly(gzFile pack, void *out, unsigned length)
{
    if (gzread(pack, out, length) != (int)length) {
        errno = EIO;
        fail("cannot read", "the attached program");
    }
}

static void unpack_file(gzFile pack, const char *path, int mode, uint64_t size)
{
    static char block[BLOCK_BYTES];
    int file = open(path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);

    if (file < 0)
        fail("cannot create", path);
    while (size > 0) {
        unsigned part = size < BLOCK_BYTES ? (unsigned)size : BLOCK_BYTES;
        read_exactly(pack, block, part);
        for (unsigned done = 0; done < part;) {
            ssize_t written = write(file, block + done, part - done);
            if (written < 0)
                fail("cannot write", path);
            done += (unsigned)written;
        }
        size -= part;
    }
    if (close(file) != 0)
        fail("cannot write", path);
}

/* Unpacks every entry: "TYPE MODE SIZE PATH\n" and then SIZE bytes. TYPE is
 * f for a file, d for a folder, l for a link whose bytes are its target, and
 * e for the end. */
static void unpack_all(const struct pack *from, const char *folder)
{
    char line[MAX_LINE], name[MAX_LINE], path[PATH_MAX], target[PATH_MAX];
    char type;
    int mode;
    unsigned long long size;
    gzFile pack;

    if (lseek(from->file, from->start, SEEK_SET) < 0 ||
        !(pack = gzdopen(dup(from->file), "r")))
        fail("cannot read", "the attached program");
    while (gzgets(pack, line, sizeof line)) {
        if (sscanf(line, "%c %o %llu %[^\n]", &type, (unsigned *)&mode, &size,
                   name) != 4)
            break;
        if (type == 'e') {
            gzclose(pack);
            return;
        }
        join(path, folder, name);
        if (type == 'f') {
            unpack_file(pack, path, mode, size);
        } else if (type == 'd') {
            if (mkdir(path, mode) != 0)
                fail("cannot create", path);
        } else if (size < PATH_MAX) {
            read_exactly(pack, target, (unsigned)size);
            target[size] = '\0';
            if (symlink(target, path) != 0)
                fail("cannot create", path);
        }
    }
    errno = EIO;
    fail("cannot read", "the attached program");
}

static void remove_tree(const char *path)
{
    char inner[PATH_MAX];
    struct dirent *entry;
    DIR *folder = opendir(path);

    while (folder && (entry = readdir(folder))) {
        if (strcmp(entry->d_name, ".") == 0 || strcmp(entry->d_name, "..") == 0)
            continue;
        join(inner, path, entry->d_name);
        if (unlink(inner) != 0)
            remove_tree(inner);
    }
    if (folder)
        closedir(folder);
    rmdir(path);
}

/* Unpacks beside the target and renames, so that the target is whole. */
static void unpack(const struct pack *pack, char *runtime, const char *target)
{
    char draft[PATH_MAX], name[64];
    int folder;

    make_folders(runtime);
    snprintf(name, sizeof name, "%.8s.%ld.part", pack->id, (long)getpid());
    join(draft, runtime, name);
    remove_tree(draft);
    if (mkdir(draft, 0755) != 0)
        fail("cannot create", draft);
    unpack_all(pack, draft);
    /* A power loss must not leave a whole-looking folder of empty files. */
    folder = open(draft, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0 || syncfs(folder) != 0)
        fail("cannot sync", draft);
    close(folder);
    if (rename(draft, target) != 0) {
        /* Another process of this version was faster. */
        if (errno != EEXIST && errno != ENOTEMPTY)
            fail("cannot create", target);
        remove_tree(draft);
    }
}

int main(int count, char **arguments)
{
    char self[PATH_MAX], runtime[PATH_MAX], target[PATH_MAX];
    char program[PATH_MAX];
    struct pack pack;
    ssize_t length = readlink("/proc/self/exe", self, sizeof self - 1);

    if (length < 0)
        fail("cannot read", "/proc/self/exe");
    self[length] = '\0';
    open_pack(&pack, self);
    runtime_folder(runtime, count, arguments, self);
    join(target, runtime, pack.id);
    join(program, target, "apricotcart");
    if (access(program, X_OK) != 0)
        unpack(&pack, runtime, target);
    execv(program, arguments);
    fail("cannot start", program);
}
