#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>
#include <msgpack.h>
#include <rapidcheck.h>

extern "C"
{
#include "frame.h"
#include <glib.h>
}

namespace
{

char *
text (const std::string &from)
{
  return g_strndup (from.c_str (), from.size ());
}

/* Sets only some of the fields; the others are encoded by the same code.  */
peer_msg
message (const std::string &name, uint64_t number, bool flag, size_t count)
{
  peer_msg msg = {};

  msg.type = PEER_REPLICAS;
  msg.cell = text (name);
  msg.fence = number;
  msg.full = flag;
  msg.replicas = g_new0 (peer_replica, count);
  msg.replica_count = count;
  msg.members = g_new0 (peer_member, count);
  msg.member_count = count;
  for (size_t i = 0; i < count; i++)
    {
      msg.replicas[i].engine = text (name);
      msg.replicas[i].state = i;
      msg.replicas[i].leaving = flag;
      msg.replicas[i].kept = !flag;
      msg.members[i].id = text (name);
      msg.members[i].load = number;
    }
  return msg;
}

std::string
encoded (const peer_msg &msg)
{
  char *bytes = nullptr;
  size_t length = 0;
  std::string out;

  RC_ASSERT (frame_encode (&msg, &bytes, &length) == 0);
  out.assign (bytes, length);
  g_free (bytes);
  RC_ASSERT (frame_length (out.c_str ()) == out.size () - FRAME_HEADER_BYTES);
  return out.substr (FRAME_HEADER_BYTES);
}

/* Adds an entry with an unknown key to the map.  */
std::string
add_unknown_field (const std::string &bytes, uint64_t key)
{
  msgpack_unpacked in;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  std::string out;

  msgpack_unpacked_init (&in);
  RC_ASSERT (msgpack_unpack_next (&in, bytes.data (), bytes.size (), nullptr)
             == MSGPACK_UNPACK_SUCCESS);
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_map (&packer, in.data.via.map.size + 1);
  msgpack_pack_uint64 (&packer, key);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_nil (&packer);
  for (uint32_t i = 0; i < in.data.via.map.size; i++)
    {
      msgpack_pack_object (&packer, in.data.via.map.ptr[i].key);
      msgpack_pack_object (&packer, in.data.via.map.ptr[i].val);
    }
  out.assign (buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  msgpack_unpacked_destroy (&in);
  return out;
}

}

int
main ()
{
  bool ok = true;

  ok &= rc::check (
      "round trip, unknown fields ignored, truncated frames rejected",
      [] (uint64_t number, bool flag) {
        const auto name
            = *rc::gen::container<std::string> (rc::gen::inRange ('a', 'z'));
        const auto count = *rc::gen::inRange<size_t> (0, 8);
        peer_msg msg = message (name, number, flag, count);
        peer_msg decoded = {};
        const auto bytes = encoded (msg);
        const auto extended
            = add_unknown_field (bytes, *rc::gen::inRange (100, 100000));
        const auto truncated_length
            = *rc::gen::inRange<size_t> (0, bytes.size ());

        RC_ASSERT (frame_decode (extended.data (), extended.size (), &decoded)
                   == 0);
        RC_ASSERT (decoded.type == PEER_REPLICAS);
        RC_ASSERT (decoded.replica_count == count);
        RC_ASSERT (encoded (decoded) == bytes);
        RC_ASSERT (decoded.fence == number && decoded.full == flag);
        for (size_t i = 0; i < count; i++)
          {
            RC_ASSERT (decoded.replicas[i].engine == name);
            RC_ASSERT (decoded.replicas[i].state == i);
            RC_ASSERT (decoded.replicas[i].leaving == flag);
            RC_ASSERT (decoded.replicas[i].kept == !flag);
            RC_ASSERT (!decoded.replicas[i].gone);
            RC_ASSERT (decoded.members[i].load == number);
          }
        peer_msg_clear (&decoded);
        RC_ASSERT (frame_decode (bytes.data (), truncated_length, &decoded)
                   < 0);
        peer_msg_clear (&decoded);
        peer_msg_clear (&msg);
      });
  ok &= rc::check ("decoding arbitrary bytes",
                   [] (const std::vector<char> &bytes) {
                     peer_msg msg = {};

                     frame_decode (bytes.data (), bytes.size (), &msg);
                     peer_msg_clear (&msg);
                   });
  return ok ? 0 : 1;
}
