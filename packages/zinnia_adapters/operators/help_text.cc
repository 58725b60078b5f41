#include "zinnia_adapters/operators/help_text.h"

#include "zinnia_decisions/operators/table_kind.h"

namespace zinnia {

std::string HelpText() {
  std::string tables;
  for (const TableKind kind : AllTableKinds()) {
    tables += "  " + std::string(NameOf(kind)) + "\n";
  }
  return R"(show TABLE [where FIELD OP VALUE [and|or ...]] [order by FIELD [desc]] [limit N]
     [as table|json]                      OP: = != < <= > >= contains; 'and' binds tighter
create KIND NAME = {JSON} against N       refused if there is one
change KIND NAME set FIELD = VALUE, ... against N
remove KIND NAME against N
put KIND/NAME = {JSON} against N          writes the whole entry
drain backend_server NAME against N       no new work; undrain takes it back
set weight of backend_server NAME = NUMBER against N
load model NAME version NAME layers FIRST..END on backend_server NAME against N
move role ROLE to instance NAME
explain session ID | explain request ID
help

KIND: pipeline, organisation, model, service, backend_server, link
'against N' names the revision that the change is ordered against; zinnia reads it if it is left
out. If the entry has changed since, the change is refused and the newer revision is named.
Names are bare words (letters, digits, _ . : / -) or "quoted".
TABLE:
)" + tables;
}

}  // namespace zinnia
