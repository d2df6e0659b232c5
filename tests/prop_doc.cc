#include <cstring>
#include <string>
#include <vector>
#include <rapidcheck.h>

/* Some structs and functions in doc.h share a name, so that struct types are
   written with the keyword below.  */
extern "C"
{
#include "doc.h"
#include <glib.h>
}

namespace
{

std::string
quoted (const std::string &name)
{
  return "\"" + name + "\"";
}

std::string
entry (const std::string &name, const std::string &fields)
{
  return quoted (name) + ": {" + fields + "}";
}

/* An object of COUNT entries PREFIX0, PREFIX1..., each with FIELDS.  */
std::string
entries (const std::string &prefix, int count, const std::string &fields)
{
  std::string text;

  for (int i = 0; i < count; i++)
    text += (i > 0 ? ", " : "") + entry (prefix + std::to_string (i), fields);
  return "{" + text + "}";
}

std::string
model_fields (const std::string &pool)
{
  auto memory = *rc::gen::inRange (1, 100000);
  auto min = *rc::gen::inRange (0, 4);
  auto max = *rc::gen::inRange (min > 0 ? min : 1, 8);

  return "\"pool\": " + quoted (pool) + ", \"version\": \"v"
         + std::to_string (*rc::gen::inRange (0, 9)) + "\", \"memory_mb\": "
         + std::to_string (memory) + ", \"min_replicas\": "
         + std::to_string (min) + ", \"max_replicas\": " + std::to_string (max)
         + ", \"non_idempotent\": "
         + (*rc::gen::arbitrary<bool> () ? "true" : "false");
}

/* A valid section.  Its names begin with TEAM, so that they are unique in the
   document.  */
std::string
section (const std::string &team, int models, int adapters)
{
  std::string pool = team + ".p0";
  std::string model = team + ".m0";
  std::string text
      = "\"cold_weight\": "
        + std::to_string (*rc::gen::inRange (0, 1000) / 1000.0)
        + ", \"pools\": " + entries (team + ".p", 1, "\"kind\": \"engines\"")
        + ", \"models\": "
        + entries (team + ".m", models, model_fields (pool));

  if (models > 0)
    text += ", \"adapters\": "
            + entries (team + ".a", adapters,
                       "\"model\": " + quoted (model)
                           + ", \"version\": \"1\", \"memory_mb\": 5");
  return "{" + text + "}";
}

struct doc *
parse (const std::string &text)
{
  struct findings findings;
  struct doc *doc = nullptr;

  findings_init (&findings);
  if (doc_parse (text.data (), text.size (), 1, &doc, &findings) < 0)
    findings_print (&findings, "prop_doc", stderr);
  findings_clear (&findings);
  return doc;
}

std::string
document (int teams, int models, int adapters)
{
  std::string text;

  for (int i = 0; i < teams; i++)
    {
      std::string team = "t" + std::to_string (i);

      text += (i > 0 ? ", " : "") + quoted (team) + ": "
              + section (team, models, adapters);
    }
  return "{\"sections\": {" + text + "}}";
}

void
check_canonical ()
{
  auto teams = *rc::gen::inRange (0, 5);
  auto models = *rc::gen::inRange (0, 6);
  struct doc *doc = parse (document (teams, models, 3));

  RC_ASSERT (doc != nullptr);
  RC_ASSERT (doc->model_count == (size_t)(teams * models));
  struct doc *again = parse (doc->text);
  RC_ASSERT (again != nullptr);
  RC_ASSERT (strcmp (again->text, doc->text) == 0);
  doc_unref (again);
  doc_unref (doc);
}

void
check_sections ()
{
  auto teams = *rc::gen::inRange (1, 5);
  struct doc *doc = parse (document (teams, 2, 2));
  std::vector<struct doc_section> sections;
  struct findings findings;
  char *text = nullptr;

  RC_ASSERT (doc != nullptr);
  findings_init (&findings);
  for (size_t i = doc->team_count; i > 0; i--)
    sections.push_back ({ doc->teams[i - 1].name,
                          doc_section_text (doc, doc->teams[i - 1].name) });
  RC_ASSERT (
      doc_assemble (sections.data (), sections.size (), &text, &findings)
      == 0);
  RC_ASSERT (strcmp (text, doc->text) == 0);
  for (auto &s : sections)
    g_free ((void *)s.text);
  g_free (text);
  doc_unref (doc);
}

/* A document with one byte changed either is rejected with findings or
   parses.  */
void
check_mutated ()
{
  std::string text = document (2, 2, 1);
  auto at = *rc::gen::inRange<size_t> (0, text.size ());
  struct findings findings;
  struct doc *doc = nullptr;

  text[at] = *rc::gen::arbitrary<char> ();
  findings_init (&findings);
  int err = doc_parse (text.data (), text.size (), 1, &doc, &findings);
  RC_ASSERT ((err == 0) == (findings.count == 0));
  RC_ASSERT ((err == 0) == (doc != nullptr));
  findings_clear (&findings);
  doc_unref (doc);
}

}

int
main ()
{
  bool ok
      = rc::check ("canonical text does not change when it is parsed again",
                   check_canonical);

  ok = rc::check ("sections in any order make the same document",
                  check_sections)
       && ok;
  ok = rc::check ("a document with a changed byte is rejected or parses",
                  check_mutated)
       && ok;
  return ok ? 0 : 1;
}
