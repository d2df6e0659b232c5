/* hostile_forms - what the clients of hostile_crowd.h send.

   The numbers of clients and the bounds that the tests check are fixed: they
   were committed before the programs had any defence.  */

#ifndef HOSTILE_FORMS_H
#define HOSTILE_FORMS_H

#include "hostile_crowd.h"

#define MEMORY_MB 128 /* of the process under test */
#define FD_LIMIT 256
#define BODY_MAX_BYTES 4194304u /* largest body allowed */
#define BODY_MAX_TEXT "4194304"
#define HEAD_MAX_BYTES 16384u
#define CROWD 64
#define MANY 400 /* more than FD_LIMIT */

/* Bytes that the sanitizers need beside those of the program.  */
#if defined __SANITIZE_THREAD__
#define PEAK_MAX_KB (MEMORY_MB * 1024L * 10)
#elif defined __SANITIZE_ADDRESS__
#define PEAK_MAX_KB (MEMORY_MB * 1024L * 3)
#else
#define PEAK_MAX_KB (MEMORY_MB * 1024L)
#endif

#define FIELDS "Host: h.example\r\nParsleyrill-Request-Id: %s\r\n"
#define POST "POST %s HTTP/1.1\r\n" FIELDS
#define GET "GET %s HTTP/1.1\r\n" FIELDS
#define CHUNK "10\r\n0123456789abcdef\r\n"
#define CHUNK64                                                               \
  "40\r\n0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r"  \
  "\n"
#define CHUNKS(bytes) ((bytes) / 16 * (sizeof CHUNK - 1))
#define JSON_BEGIN "{\"model\":\"m\",\"prompt\":[1"

static const struct crowd_form body_forms[] = {
  { .name = "bodies one byte short",
    .clients = CROWD,
    .head = POST "Content-Length: " BODY_MAX_TEXT "\r\n\r\n",
    .bytes = BODY_MAX_BYTES - 1 },
  { .name = "bodies one byte short, in pieces",
    .clients = CROWD,
    .head = POST "Content-Length: " BODY_MAX_TEXT "\r\n\r\n",
    .bytes = BODY_MAX_BYTES - 1,
    .step = 2000 },
  { .name = "bodies that wait for 100 Continue, one byte short",
    .clients = CROWD,
    .head
    = POST "Expect: 100-continue\r\nContent-Length: " BODY_MAX_TEXT "\r\n\r\n",
    .bytes = BODY_MAX_BYTES - 1 },
  { .name = "chunks of 16 bytes without an end",
    .clients = CROWD,
    .head = POST "Transfer-Encoding: chunked\r\n\r\n",
    .pattern = CHUNK,
    .bytes = CHUNKS (3u << 20) },
  { .name = "bodies announced as 1 GB",
    .clients = CROWD,
    .head = POST "Content-Length: 1073741824\r\n\r\n",
    .bytes = 12u << 20 },
  { .name = "chunked bodies over the limit",
    .clients = CROWD,
    .head = POST "Transfer-Encoding: chunked\r\n\r\n",
    .pattern = CHUNK64,
    .bytes = 12u << 20 },
};

static const struct crowd_form whole_forms[] = {
  { .name = "complete bodies at once",
    .clients = CROWD,
    .head = POST "Content-Length: " BODY_MAX_TEXT "\r\n\r\n",
    .bytes = BODY_MAX_BYTES,
    .reads = true },
  { .name = "JSON of many short values",
    .clients = CROWD / 4,
    .head = POST "Content-Length: " BODY_MAX_TEXT "\r\n\r\n" JSON_BEGIN,
    .pattern = ",1",
    .bytes = BODY_MAX_BYTES - (sizeof JSON_BEGIN - 1),
    .reads = true },
  { .name = "large answers not read",
    .clients = CROWD,
    .head = GET "X-Large: 1\r\n\r\n" },
  { .name = "large streams not read",
    .clients = CROWD,
    .head = GET "X-Large: 2\r\n\r\n" },
};

static const struct crowd_form connection_forms[] = {
  { .name = "heads of very short fields without an end",
    .clients = CROWD,
    .head = GET,
    .pattern = "a:\r\n",
    .bytes = HEAD_MAX_BYTES - 200 },
  { .name = "2,000 requests without reading",
    .clients = CROWD,
    .head = GET "\r\n",
    .repeats = 2000 },
  { .name = "connections without a byte", .clients = MANY, .head = "" },
  { .name = "half a request line", .clients = MANY, .head = "GET %s HT" },
  { .name = "bodies a byte at a time",
    .clients = MANY,
    .head = POST "Content-Length: " BODY_MAX_TEXT "\r\n\r\n",
    .bytes = 40,
    .step = 400,
    .pause_ms = 50 },
};

#endif
