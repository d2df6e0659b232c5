/* request_heads - requests that two readers could take in two ways, and sound
   ones that look alike.  Each is sent with another request behind it.  */

#ifndef REQUEST_HEADS_H
#define REQUEST_HEADS_H

#include <stdbool.h>
#include <stddef.h>

/* Defined by the test: HEAD_PATH, and HEAD_FIELDS, header lines that its
   server needs.  */
#define HEAD_LINE "POST " HEAD_PATH " HTTP/1.1\r\n"
#define HEAD_BEGIN HEAD_LINE "Host: h.example\r\n" HEAD_FIELDS
#define HEAD_CHUNKED HEAD_BEGIN "Transfer-Encoding: chunked\r\n\r\n"

enum head_outcome
{
  HEAD_REJECTED, /* 400 or no response, then closed */
  HEAD_CLOSED,   /* served, then closed */
  HEAD_SERVED    /* served, and so is the request behind it */
};

struct request_head
{
  const char *name;
  const char *text;
  size_t length;
  enum head_outcome outcome;
};

#define HEAD_CASE(name, text, outcome)                                        \
  {                                                                           \
    name, text, sizeof (text) - 1, outcome                                    \
  }

static const struct request_head request_heads[] = {
  /* Sound requests.  */
  HEAD_CASE ("length", HEAD_BEGIN "Content-Length: 2\r\n\r\nhi", HEAD_SERVED),
  HEAD_CASE ("no space after the colon",
             HEAD_BEGIN "X:y\r\nContent-Length:2\r\n\r\nhi", HEAD_SERVED),
  HEAD_CASE ("spaces and tabs around a value",
             HEAD_BEGIN "X: \t y z \t\r\nContent-Length:  2\r\n\r\nhi",
             HEAD_SERVED),
  HEAD_CASE ("no body", HEAD_BEGIN "Content-Length: 0\r\n\r\n", HEAD_SERVED),
  HEAD_CASE ("an empty value", HEAD_BEGIN "X:\r\nContent-Length: 0\r\n\r\n",
             HEAD_SERVED),
  HEAD_CASE ("UTF-8", HEAD_BEGIN "X: \xc3\xa9\r\nContent-Length: 0\r\n\r\n",
             HEAD_SERVED),
  HEAD_CASE ("an empty line before",
             "\r\n" HEAD_BEGIN "Content-Length: 0\r\n\r\n", HEAD_SERVED),
  HEAD_CASE ("chunks", HEAD_CHUNKED "2\r\nhi\r\n0\r\n\r\n", HEAD_CLOSED),
  HEAD_CASE ("many chunks", HEAD_CHUNKED "1\r\nh\r\n001\r\ni\r\n0\r\n\r\n",
             HEAD_CLOSED),
  HEAD_CASE ("a chunk extension", HEAD_CHUNKED "2;a=b\r\nhi\r\n0;c\r\n\r\n",
             HEAD_CLOSED),
  HEAD_CASE ("a trailer", HEAD_CHUNKED "2\r\nhi\r\n0\r\nX: y\r\n\r\n",
             HEAD_CLOSED),
  /* The length of the body.  */
  HEAD_CASE ("two lengths",
             HEAD_BEGIN "Content-Length: 0\r\nContent-Length: 2\r\n\r\nhi",
             HEAD_REJECTED),
  HEAD_CASE ("the same length twice",
             HEAD_BEGIN "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
             HEAD_REJECTED),
  HEAD_CASE ("a list of lengths", HEAD_BEGIN "Content-Length: 2, 2\r\n\r\nhi",
             HEAD_REJECTED),
  HEAD_CASE ("a sign", HEAD_BEGIN "Content-Length: +2\r\n\r\nhi",
             HEAD_REJECTED),
  HEAD_CASE ("a negative length", HEAD_BEGIN "Content-Length: -2\r\n\r\nhi",
             HEAD_REJECTED),
  HEAD_CASE ("hexadecimal", HEAD_BEGIN "Content-Length: 0x2\r\n\r\nhi",
             HEAD_REJECTED),
  HEAD_CASE ("an empty length", HEAD_BEGIN "Content-Length:\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("an overflow",
             HEAD_BEGIN "Content-Length: 18446744073709551618\r\n\r\nhi",
             HEAD_REJECTED),
  HEAD_CASE ("length and chunks",
             HEAD_BEGIN
             "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
             "0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("chunks and length",
             HEAD_BEGIN
             "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
             "0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("an unknown coding",
             HEAD_BEGIN "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a list of codings",
             HEAD_BEGIN "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("two codings",
             HEAD_BEGIN "Transfer-Encoding: identity\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("the coding twice",
             HEAD_BEGIN "Transfer-Encoding: chunked\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a vertical tab before the coding",
             HEAD_BEGIN "Transfer-Encoding:\vchunked\r\n\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("chunks in HTTP/1.0",
             "POST " HEAD_PATH " HTTP/1.0\r\nHost: h.example\r\n" HEAD_FIELDS
             "Connection: keep-alive\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             HEAD_REJECTED),
  /* Names of headers.  */
  HEAD_CASE ("a space before the colon",
             HEAD_BEGIN "Content-Length : 2\r\n\r\nhi", HEAD_REJECTED),
  HEAD_CASE ("a tab before the colon",
             HEAD_BEGIN "Content-Length\t: 2\r\n\r\nhi", HEAD_REJECTED),
  HEAD_CASE ("a space before a coding's colon",
             HEAD_BEGIN "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("no name", HEAD_BEGIN ": 2\r\nContent-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("no colon", HEAD_BEGIN "X\r\nContent-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a control character in a name",
             HEAD_BEGIN "\001Content-Length: 2\r\n\r\nhi", HEAD_REJECTED),
  HEAD_CASE ("NUL in a name", HEAD_BEGIN "Content-Length\0: 2\r\n\r\nhi",
             HEAD_REJECTED),
  /* Ends of lines.  */
  HEAD_CASE ("LF alone", HEAD_BEGIN "X: a\nContent-Length: 2\r\n\r\nhi",
             HEAD_REJECTED),
  HEAD_CASE ("CR alone", HEAD_BEGIN "X: a\rContent-Length: 2\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("LF alone after the request line",
             "POST " HEAD_PATH " HTTP/1.1\nHost: h.example\r\n" HEAD_FIELDS
             "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("LF alone at the end of the last header",
             HEAD_BEGIN "Content-Length: 0\n\r\n", HEAD_REJECTED),
  HEAD_CASE ("LF alone at the end of the head",
             HEAD_BEGIN "Content-Length: 0\r\n\n", HEAD_REJECTED),
  HEAD_CASE ("a space less and a folded line more",
             HEAD_BEGIN "Content-Length: 2\r\n 0\r\n\r\nhi", HEAD_REJECTED),
  HEAD_CASE ("a folded line",
             HEAD_BEGIN "X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a folded line at first",
             HEAD_LINE " X: a\r\nHost: h.example\r\n" HEAD_FIELDS
                       "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("NUL in a value",
             HEAD_BEGIN "X: a\0b\r\nContent-Length: 0\r\n\r\n", HEAD_REJECTED),
  HEAD_CASE ("NUL in the length", HEAD_BEGIN "Content-Length: 0\0002\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a control character in a value",
             HEAD_BEGIN "X: a\010b\r\nContent-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  /* The host.  */
  HEAD_CASE ("no Host", HEAD_LINE HEAD_FIELDS "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("two Hosts",
             HEAD_BEGIN "Host: other.example\r\nContent-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("NUL in the Host",
             HEAD_LINE "Host: h.example\0.net\r\n" HEAD_FIELDS
                       "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a path in the Host",
             HEAD_LINE "Host: h.example/x\r\n" HEAD_FIELDS
                       "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("user information in the Host",
             HEAD_LINE "Host: h.example@x\r\n" HEAD_FIELDS
                       "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  /* The request line.  */
  HEAD_CASE ("two spaces",
             "POST  " HEAD_PATH " HTTP/1.1\r\nHost: h.example\r\n" HEAD_FIELDS
             "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a space in the target",
             "POST " HEAD_PATH
             " /x HTTP/1.1\r\nHost: h.example\r\n" HEAD_FIELDS
             "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a method that is no token",
             "PO(ST " HEAD_PATH " HTTP/1.1\r\nHost: h.example\r\n" HEAD_FIELDS
             "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("an unknown version",
             "POST " HEAD_PATH " HTTP/1.2\r\nHost: h.example\r\n" HEAD_FIELDS
             "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("the target names the Host",
             "POST http://H.example" HEAD_PATH
             " HTTP/1.1\r\nHost: h.example\r\n" HEAD_FIELDS
             "Content-Length: 0\r\n\r\n",
             HEAD_SERVED),
  HEAD_CASE ("the target names another host",
             "POST http://other.example" HEAD_PATH
             " HTTP/1.1\r\nHost: h.example\r\n" HEAD_FIELDS
             "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("the target names another port",
             "POST http://h.example:1" HEAD_PATH
             " HTTP/1.1\r\nHost: h.example\r\n" HEAD_FIELDS
             "Content-Length: 0\r\n\r\n",
             HEAD_REJECTED),
  /* Chunks and trailers.  What libmicrohttpd does not tell apart is served,
     but nothing that may be hidden behind it.  */
  HEAD_CASE ("LF alone in a chunk extension",
             HEAD_CHUNKED "2;a\nhi\r\n0\r\n\r\n", HEAD_CLOSED),
  HEAD_CASE ("LF alone after the size of a chunk",
             HEAD_CHUNKED "2\nhi\r\n0\r\n\r\n", HEAD_CLOSED),
  HEAD_CASE ("LF alone after a chunk", HEAD_CHUNKED "2\r\nhi\n0\r\n\r\n",
             HEAD_CLOSED),
  HEAD_CASE ("LF alone after the last chunk",
             HEAD_CHUNKED "2\r\nhi\r\n0\n\r\n", HEAD_CLOSED),
  HEAD_CASE ("CR alone after the size of a chunk",
             HEAD_CHUNKED "2\rhi\r\n0\r\n\r\n", HEAD_REJECTED),
  HEAD_CASE ("no line end after a chunk", HEAD_CHUNKED "2\r\nhi0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a chunk that is longer than its size",
             HEAD_CHUNKED "1\r\nhi\r\n0\r\n\r\n", HEAD_REJECTED),
  HEAD_CASE ("a size with a sign", HEAD_CHUNKED "+2\r\nhi\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a size with 0x", HEAD_CHUNKED "0x2\r\nhi\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a space before the size", HEAD_CHUNKED " 2\r\nhi\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a space after the size", HEAD_CHUNKED "2 \r\nhi\r\n0\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("no size", HEAD_CHUNKED "\r\nhi\r\n0\r\n\r\n", HEAD_REJECTED),
  HEAD_CASE ("a length in the trailers",
             HEAD_CHUNKED "2\r\nhi\r\n0\r\nContent-Length: 9\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a coding in the trailers",
             HEAD_CHUNKED "0\r\nTransfer-Encoding: chunked\r\n\r\n",
             HEAD_REJECTED),
  HEAD_CASE ("a Host in the trailers",
             HEAD_CHUNKED "0\r\nHost: other.example\r\n\r\n", HEAD_REJECTED),
  HEAD_CASE ("a space before a trailer's colon",
             HEAD_CHUNKED "0\r\nX : y\r\n\r\n", HEAD_REJECTED),
  HEAD_CASE ("a request among the trailers",
             HEAD_CHUNKED "0\r\nPOST /hidden HTTP/1.1\r\nX: y\r\n\r\n",
             HEAD_REJECTED),
};

#define REQUEST_HEADS (sizeof request_heads / sizeof request_heads[0])

#endif
