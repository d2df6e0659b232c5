#include "frame.h"

#include <errno.h>
#include <stddef.h>
#include <string.h>
#include <glib.h>
#include <msgpack.h>

enum kind
{
  NUMBER, /* uint64_t */
  FLAG,   /* bool */
  TEXT,   /* char * */
  LIST    /* array of structs, with its count in another member */
};

struct schema;

/* A member of a struct and its key on the wire.  Keys of removed fields must
   not be reused.  */
struct field
{
  unsigned key;
  enum kind kind;
  size_t offset;
  size_t count_offset;         /* LIST */
  const struct schema *schema; /* LIST: of the elements */
};

struct schema
{
  size_t size; /* of the struct */
  const struct field *fields;
  size_t field_count;
};

#define SCALAR(key, kind, type, name)                                         \
  {                                                                           \
    key, kind, offsetof (type, name), 0, NULL                                 \
  }
#define ARRAY(key, type, name, count, of)                                     \
  {                                                                           \
    key, LIST, offsetof (type, name), offsetof (type, count), &(of)           \
  }
#define SCHEMA(type, fields)                                                  \
  {                                                                           \
    sizeof (type), fields, G_N_ELEMENTS (fields)                              \
  }

static const struct field member_fields[]
    = { SCALAR (1, TEXT, struct peer_member, id),
        SCALAR (2, TEXT, struct peer_member, address),
        SCALAR (3, TEXT, struct peer_member, advertised_address),
        SCALAR (4, TEXT, struct peer_member, zone),
        SCALAR (5, TEXT, struct peer_member, region),
        SCALAR (6, NUMBER, struct peer_member, incarnation),
        SCALAR (7, NUMBER, struct peer_member, state),
        SCALAR (8, NUMBER, struct peer_member, doc_version),
        SCALAR (9, NUMBER, struct peer_member, load) };
static const struct schema member_schema
    = SCHEMA (struct peer_member, member_fields);

static const struct field want_fields[]
    = { SCALAR (1, TEXT, struct peer_want, target),
        SCALAR (2, NUMBER, struct peer_want, count),
        SCALAR (3, NUMBER, struct peer_want, deadline_ms),
        SCALAR (4, NUMBER, struct peer_want, priority),
        SCALAR (5, NUMBER, struct peer_want, calls),
        SCALAR (6, NUMBER, struct peer_want, prompt_tokens),
        SCALAR (7, NUMBER, struct peer_want, shared_tokens),
        SCALAR (8, NUMBER, struct peer_want, answer_tokens),
        SCALAR (9, NUMBER, struct peer_want, objective_ms),
        SCALAR (10, NUMBER, struct peer_want, gap_ms),
        SCALAR (11, NUMBER, struct peer_want, calls_priority) };
static const struct schema want_schema
    = SCHEMA (struct peer_want, want_fields);

static const struct field replica_fields[]
    = { SCALAR (1, TEXT, struct peer_replica, engine),
        SCALAR (2, TEXT, struct peer_replica, address),
        SCALAR (3, TEXT, struct peer_replica, zone),
        SCALAR (4, TEXT, struct peer_replica, pool),
        SCALAR (5, TEXT, struct peer_replica, model),
        SCALAR (6, TEXT, struct peer_replica, adapter),
        SCALAR (7, TEXT, struct peer_replica, version),
        SCALAR (8, NUMBER, struct peer_replica, state),
        SCALAR (9, NUMBER, struct peer_replica, ready_ms),
        SCALAR (10, NUMBER, struct peer_replica, slots),
        SCALAR (11, NUMBER, struct peer_replica, running),
        SCALAR (12, NUMBER, struct peer_replica, queued),
        SCALAR (13, NUMBER, struct peer_replica, age_ms),
        SCALAR (14, FLAG, struct peer_replica, leaving),
        SCALAR (15, FLAG, struct peer_replica, gone),
        SCALAR (16, NUMBER, struct peer_replica, born),
        SCALAR (17, FLAG, struct peer_replica, kept) };
static const struct schema replica_schema
    = SCHEMA (struct peer_replica, replica_fields);

static const struct field section_fields[]
    = { SCALAR (1, TEXT, struct peer_section, team),
        SCALAR (2, TEXT, struct peer_section, text),
        SCALAR (3, NUMBER, struct peer_section, version) };
static const struct schema section_schema
    = SCHEMA (struct peer_section, section_fields);

static const struct field strike_fields[]
    = { SCALAR (1, NUMBER, struct peer_strike, fingerprint),
        SCALAR (2, NUMBER, struct peer_strike, engine),
        SCALAR (3, NUMBER, struct peer_strike, age_ms),
        SCALAR (4, FLAG, struct peer_strike, cleared) };
static const struct schema strike_schema
    = SCHEMA (struct peer_strike, strike_fields);

static const struct field load_fields[]
    = { SCALAR (1, TEXT, struct peer_load, server),
        SCALAR (2, NUMBER, struct peer_load, running),
        SCALAR (3, NUMBER, struct peer_load, queued),
        SCALAR (4, NUMBER, struct peer_load, pace),
        SCALAR (5, NUMBER, struct peer_load, first_ratio),
        SCALAR (6, NUMBER, struct peer_load, event_ratio) };
static const struct schema load_schema
    = SCHEMA (struct peer_load, load_fields);

static const struct field quarantine_fields[]
    = { SCALAR (1, NUMBER, struct peer_quarantine, feature),
        SCALAR (2, NUMBER, struct peer_quarantine, trials),
        SCALAR (3, NUMBER, struct peer_quarantine, age_ms),
        SCALAR (4, FLAG, struct peer_quarantine, known_good),
        SCALAR (5, FLAG, struct peer_quarantine, released) };
static const struct schema quarantine_schema
    = SCHEMA (struct peer_quarantine, quarantine_fields);

static const struct field limit_fields[]
    = { SCALAR (1, TEXT, struct peer_limit, server),
        SCALAR (2, NUMBER, struct peer_limit, per_1000s),
        SCALAR (3, NUMBER, struct peer_limit, age_ms),
        SCALAR (4, NUMBER, struct peer_limit, ask),
        SCALAR (5, NUMBER, struct peer_limit, wait_ms),
        SCALAR (6, FLAG, struct peer_limit, rejected) };
static const struct schema limit_schema
    = SCHEMA (struct peer_limit, limit_fields);

static const struct field quota_fields[]
    = { SCALAR (1, TEXT, struct peer_quota, customer),
        SCALAR (2, NUMBER, struct peer_quota, number),
        SCALAR (3, NUMBER, struct peer_quota, amount),
        SCALAR (4, NUMBER, struct peer_quota, want),
        SCALAR (5, NUMBER, struct peer_quota, wait_ms),
        SCALAR (6, NUMBER, struct peer_quota, ready_ms),
        SCALAR (7, NUMBER, struct peer_quota, age_ms) };
static const struct schema quota_schema
    = SCHEMA (struct peer_quota, quota_fields);

/* Key 0 is the type.  */
static const struct field msg_fields[]
    = { SCALAR (1, NUMBER, struct peer_msg, id),
        SCALAR (2, TEXT, struct peer_msg, node),
        SCALAR (3, TEXT, struct peer_msg, address),
        SCALAR (4, TEXT, struct peer_msg, zone),
        SCALAR (5, TEXT, struct peer_msg, region),
        SCALAR (6, TEXT, struct peer_msg, nonce),
        SCALAR (7, TEXT, struct peer_msg, proof),
        SCALAR (8, NUMBER, struct peer_msg, incarnation),
        SCALAR (9, NUMBER, struct peer_msg, protocol),
        SCALAR (10, NUMBER, struct peer_msg, protocol_min),
        SCALAR (11, TEXT, struct peer_msg, subject),
        SCALAR (12, TEXT, struct peer_msg, cell),
        SCALAR (13, NUMBER, struct peer_msg, fence),
        SCALAR (14, NUMBER, struct peer_msg, seq),
        SCALAR (15, FLAG, struct peer_msg, full),
        SCALAR (16, NUMBER, struct peer_msg, version),
        SCALAR (17, NUMBER, struct peer_msg, since),
        SCALAR (18, TEXT, struct peer_msg, name),
        SCALAR (19, TEXT, struct peer_msg, text),
        SCALAR (20, NUMBER, struct peer_msg, status),
        ARRAY (21, struct peer_msg, members, member_count, member_schema),
        ARRAY (22, struct peer_msg, wants, want_count, want_schema),
        ARRAY (23, struct peer_msg, replicas, replica_count, replica_schema),
        ARRAY (24, struct peer_msg, sections, section_count, section_schema),
        ARRAY (25, struct peer_msg, strikes, strike_count, strike_schema),
        SCALAR (26, FLAG, struct peer_msg, relay),
        ARRAY (27, struct peer_msg, loads, load_count, load_schema),
        SCALAR (28, NUMBER, struct peer_msg, list_version),
        ARRAY (29, struct peer_msg, quarantines, quarantine_count,
               quarantine_schema),
        ARRAY (30, struct peer_msg, limits, limit_count, limit_schema),
        SCALAR (31, NUMBER, struct peer_msg, config_age_ms),
        SCALAR (32, NUMBER, struct peer_msg, list_era),
        ARRAY (33, struct peer_msg, quotas, quota_count, quota_schema) };
static const struct schema msg_schema = SCHEMA (struct peer_msg, msg_fields);

static const void *
field_at (const struct field *field, const void *base)
{
  return (const char *)base + field->offset;
}

static void *
field_in (const struct field *field, void *base)
{
  return (char *)base + field->offset;
}

static size_t
list_count (const struct field *field, const void *base)
{
  size_t count;

  memcpy (&count, (const char *)base + field->count_offset, sizeof count);
  return count;
}

static char *
pointer_at (const struct field *field, const void *base)
{
  char *pointer;

  memcpy (&pointer, field_at (field, base), sizeof pointer);
  return pointer;
}

static uint64_t
number_at (const struct field *field, const void *base)
{
  uint64_t number;

  memcpy (&number, field_at (field, base), sizeof number);
  return number;
}

static bool
field_empty (const struct field *field, const void *base)
{
  switch (field->kind)
    {
    case NUMBER:
      return number_at (field, base) == 0;
    case FLAG:
      return !*(const bool *)field_at (field, base);
    case TEXT:
      return pointer_at (field, base) == NULL;
    default:
      return list_count (field, base) == 0;
    }
}

static void struct_clear (const struct schema *schema, void *base);

static void
field_clear (const struct field *field, void *base)
{
  char *pointer;

  if (field->kind != TEXT && field->kind != LIST)
    return;
  pointer = pointer_at (field, base);
  if (field->kind == LIST)
    for (size_t i = 0; i < list_count (field, base); i++)
      struct_clear (field->schema, pointer + i * field->schema->size);
  g_free (pointer);
  memset (field_in (field, base), 0, sizeof pointer);
}

static void
struct_clear (const struct schema *schema, void *base)
{
  for (size_t i = 0; i < schema->field_count; i++)
    field_clear (&schema->fields[i], base);
  memset (base, 0, schema->size);
}

void
peer_msg_clear (struct peer_msg *msg)
{
  struct_clear (&msg_schema, msg);
}

static void pack_struct (msgpack_packer *packer, const struct schema *schema,
                         const void *base, uint64_t type);

static void
pack_field (msgpack_packer *packer, const struct field *field,
            const void *base)
{
  const char *pointer;
  size_t count;

  switch (field->kind)
    {
    case NUMBER:
      msgpack_pack_uint64 (packer, number_at (field, base));
      break;
    case FLAG:
      msgpack_pack_true (packer);
      break;
    case TEXT:
      pointer = pointer_at (field, base);
      msgpack_pack_str_with_body (packer, pointer, strlen (pointer));
      break;
    default:
      pointer = pointer_at (field, base);
      count = list_count (field, base);
      msgpack_pack_array (packer, count);
      for (size_t i = 0; i < count; i++)
        pack_struct (packer, field->schema, pointer + i * field->schema->size,
                     0);
    }
}

/* Packs a struct as a map.  TYPE is the message type; 0: the struct is not a
   message.  */
static void
pack_struct (msgpack_packer *packer, const struct schema *schema,
             const void *base, uint64_t type)
{
  size_t pair_count = type != 0 ? 1 : 0;

  for (size_t i = 0; i < schema->field_count; i++)
    pair_count += field_empty (&schema->fields[i], base) ? 0 : 1;
  msgpack_pack_map (packer, pair_count);
  if (type != 0)
    {
      msgpack_pack_uint64 (packer, 0);
      msgpack_pack_uint64 (packer, type);
    }
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct field *field = &schema->fields[i];

      if (field_empty (field, base))
        continue;
      msgpack_pack_uint64 (packer, field->key);
      pack_field (packer, field, base);
    }
}

int
frame_encode (const struct peer_msg *msg, char **out, size_t *length)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  char header[FRAME_HEADER_BYTES] = { 0 };
  int error = 0;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_sbuffer_write (&buffer, header, sizeof header);
  pack_struct (&packer, &msg_schema, msg, msg->type);
  *length = buffer.size;
  if (buffer.size - FRAME_HEADER_BYTES > FRAME_MAX_BYTES)
    error = -EMSGSIZE;
  else
    {
      uint32_t size
          = GUINT32_TO_BE ((uint32_t)buffer.size - FRAME_HEADER_BYTES);

      memcpy (buffer.data, &size, sizeof size);
      *out = g_memdup2 (buffer.data, buffer.size);
    }
  msgpack_sbuffer_destroy (&buffer);
  return error;
}

size_t
frame_length (const char header[FRAME_HEADER_BYTES])
{
  uint32_t size;

  memcpy (&size, header, sizeof size);
  return GUINT32_FROM_BE (size);
}

static int unpack_struct (const msgpack_object *object,
                          const struct schema *schema, void *base,
                          uint64_t *type);

static int
unpack_list (const msgpack_object *object, const struct field *field,
             void *base)
{
  const msgpack_object_array *array = &object->via.array;
  char *items;
  size_t count = array->size;
  int error = 0;

  if (object->type != MSGPACK_OBJECT_ARRAY || count > FRAME_LIST_MAX)
    return -EBADMSG;
  field_clear (field, base);
  items = g_malloc0_n (count, field->schema->size);
  memcpy (field_in (field, base), &items, sizeof items);
  memcpy ((char *)base + field->count_offset, &count, sizeof count);
  for (size_t i = 0; i < count && error == 0; i++)
    error = unpack_struct (&array->ptr[i], field->schema,
                           items + i * field->schema->size, NULL);
  return error;
}

static int
unpack_text (const msgpack_object *object, const struct field *field,
             void *base)
{
  char *text;

  if (object->type != MSGPACK_OBJECT_STR)
    return -EBADMSG;
  field_clear (field, base);
  text = object->via.str.size == 0
             ? g_strdup ("")
             : g_strndup (object->via.str.ptr, object->via.str.size);
  memcpy (field_in (field, base), &text, sizeof text);
  return 0;
}

static int
unpack_field (const msgpack_object *object, const struct field *field,
              void *base)
{
  switch (field->kind)
    {
    case NUMBER:
      if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return -EBADMSG;
      memcpy (field_in (field, base), &object->via.u64,
              sizeof object->via.u64);
      return 0;
    case FLAG:
      if (object->type != MSGPACK_OBJECT_BOOLEAN)
        return -EBADMSG;
      *(bool *)field_in (field, base) = object->via.boolean;
      return 0;
    case TEXT:
      return unpack_text (object, field, base);
    default:
      return unpack_list (object, field, base);
    }
}

static const struct field *
field_find (const struct schema *schema, uint64_t key)
{
  for (size_t i = 0; i < schema->field_count; i++)
    if (schema->fields[i].key == key)
      return &schema->fields[i];
  return NULL;
}

static int
unpack_type (const msgpack_object *object, uint64_t *type)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 == 0
      || object->via.u64 > INT16_MAX)
    return -EBADMSG;
  *type = object->via.u64;
  return 0;
}

/* Fills a struct from a map.  *TYPE is set if the map has a message type; TYPE
   is NULL if the struct is not a message.  */
static int
unpack_struct (const msgpack_object *object, const struct schema *schema,
               void *base, uint64_t *type)
{
  const msgpack_object_map *map = &object->via.map;
  int error = 0;

  if (object->type != MSGPACK_OBJECT_MAP)
    return -EBADMSG;
  for (uint32_t i = 0; i < map->size && error == 0; i++)
    {
      const msgpack_object *key = &map->ptr[i].key;
      const struct field *field;

      if (key->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        continue;
      field = field_find (schema, key->via.u64);
      if (field != NULL)
        error = unpack_field (&map->ptr[i].val, field, base);
      else if (key->via.u64 == 0 && type != NULL)
        error = unpack_type (&map->ptr[i].val, type);
    }
  return error;
}

int
frame_decode (const char *bytes, size_t length, struct peer_msg *msg)
{
  msgpack_unpacked unpacked;
  size_t used = 0;
  uint64_t type = 0;
  int error = -EBADMSG;

  memset (msg, 0, sizeof *msg);
  if (length > FRAME_MAX_BYTES)
    return -EBADMSG;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, bytes, length, &used)
          == MSGPACK_UNPACK_SUCCESS
      && used == length)
    error = unpack_struct (&unpacked.data, &msg_schema, msg, &type);
  msgpack_unpacked_destroy (&unpacked);
  msg->type = (enum peer_msg_type)type;
  return error == 0 && type == 0 ? -EBADMSG : error;
}
