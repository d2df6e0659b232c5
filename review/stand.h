/* stand - parts shared by the stand-ins and the cases of the review: HTTP/1.1
   messages on blocking sockets, records, child processes.  */

#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MESSAGE_MAX (256 * 1024) /* bytes of one HTTP message */

struct message
{
  char *bytes; /* head and body, NUL-terminated */
  size_t length;
  size_t head; /* bytes of the head, with its empty line */
  size_t end;  /* end of the message in BYTES */
};

int64_t now_ms (void);
void sleep_ms (int ms);

/* Appends a line to the record: time in ms, then the text.  */
void record_open (const char *path);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

bool send_all (int fd, const void *bytes, size_t n);
/* Reads one request with a Content-Length, or without a body; bytes after it
   are kept for the next call.  False at the end of the connection.  */
bool read_request (int fd, struct message *message);
/* Copies the value of header NAME, "" if it is absent.  */
bool get_header (const struct message *message, const char *name, char *out,
                 size_t size);
/* Copies the value of NAME of the request's query, percent-decoded.  */
bool get_query (const struct message *message, const char *name, char *out,
                size_t size);

int listen_on (const char *ip, int port);
int connect_to (const char *ip, int port, int timeout_ms);
/* Runs HANDLE in a thread of its own for each connection.  Does not return.
 */
void serve (int listener, void *(*handle) (void *fd));

/* Calls the store; returns the status, 0 if there was no response.  */
int store_call (const char *ip, int port, const char *body);
/* Writes a row with part "", or removes it if VALUE is NULL.  */
bool store_put (const char *ip, int port, const char *table, const char *key,
                const char *value);

/* Starts a program; its output goes to LOG.  ENVIRONMENT may be NULL.  */
pid_t start_program (const char *log, char *const *argv,
                     char *const *environment);
/* Sends SIGNAL to a process that was started here, and waits for its end if
   that is SIGKILL.  */
void signal_child (pid_t pid, int signal);

int store_main (int argc, char **argv);
int engine_main (int argc, char **argv);
int proxy_main (int argc, char **argv);

#endif
