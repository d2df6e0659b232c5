/* stand2 - what the scripts of the second review share: a store, engines as
   child processes, gates and clients, all on loopback addresses.  */

#ifndef REVIEW_STAND2_H
#define REVIEW_STAND2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define HOST "town.example"
#define NAME_MAX_BYTES 64

/* Time and the record.  */
double now_s (void);
void sleep_s (double seconds);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Ends all processes that were started, and exits.  */
void finish (int status) __attribute__ ((noreturn));
void stand_start (const char *record_path);
bool trouble (void); /* whether TROUBLE is not 0 */

/* Sockets.  */
int listen_any (uint16_t *port, int backlog);
int connect_port (uint16_t port, double timeout_s); /* -1: no connection */
bool send_all (int fd, const void *bytes, size_t n);

/* Requests.  Returns the length of the head and body at BYTES, 0 if it is not
   complete.  */
size_t request_length (const char *bytes, size_t n);
/* Copies the value of a header, or "".  */
void header_value (const char *head, const char *name, char *value,
                   size_t size);

/* The platform's store.  */
struct store;
struct store *store_start (void);
uint16_t store_port (const struct store *store);
/* VALUE is text; NULL removes the row.  */
void store_put (struct store *store, const char *table, const char *key,
                const char *value);
/* A copy of STORE at another address; versions go on.  */
struct store *store_move (struct store *store);
/* Closes its port and all connections.  */
void store_end (struct store *store);

/* Engines: child processes.  The parent keeps the listening socket: it is the
   engine's machine.  */
struct engine
{
  char id[NAME_MAX_BYTES];
  char service[NAME_MAX_BYTES];
  uint16_t port;
  int listen_fd;
  pid_t pid;
  int slots;
  void (*serve) (struct engine *engine); /* in the child; does not return */
};

/* Listens and starts the process.  */
void engine_start (struct engine *engine);
/* Starts another process on the same machine.  */
void engine_restart (struct engine *engine, const char *id);
/* The process ends; the machine keeps its address.  */
void engine_kill (struct engine *engine);
/* The same; connections to the address are refused until a restart.  */
void engine_crash (struct engine *engine);
/* From now on connections to the machine are not answered.  */
void engine_darken (struct engine *engine);
/* Writes its entry in the store; STATE NULL: removes it.  EXTRA: more members,
   beginning with a comma, or "".  */
void engine_list (struct engine *engine, struct store *store,
                  const char *state, const char *extra);

/* Gates.  */
struct gate
{
  char name[NAME_MAX_BYTES];
  uint16_t front, ready, control, directory, metrics;
  pid_t pid;
  char folder[256];
};

/* Whether engines check fencing tokens, of gates that start later.  */
void gate_fencing (bool checked);
void gate_start (struct gate *gate, const char *name,
                 const struct store *store);
void gate_settings (const struct gate *gate, const struct store *store);
bool gate_is_ready (const struct gate *gate);
bool gate_wait (const struct gate *gate);

/* A whole response.  */
struct answer
{
  int status;    /* 0: none */
  bool complete; /* its framing says that it is whole */
  bool sealed;
  char body[8192];
  size_t length;
  double took_s;
};

/* Sends a request on a new connection and reads the response for TIMEOUT_S at
   most.  EXTRA: header lines, or "".  */
void ask (uint16_t port, const char *method, const char *path, const char *id,
          const char *extra, const char *body, double timeout_s,
          struct answer *answer);

#endif
